package configurator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems limits the report on a file that is not a settings file at all.
const maxProblems = 100

// Problems is the error of a rejected file, sorted by line.
type Problems []Problem

// Error returns one line for each of the first maxProblems problems, and the number of the others.
func (p Problems) Error() string {
	var text strings.Builder
	for i, problem := range p[:min(len(p), maxProblems)] {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(problem.String())
	}
	if more := len(p) - maxProblems; more > 0 {
		fmt.Fprintf(&text, "\n%d more problems", more)
	}
	return text.String()
}

func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return p
}
