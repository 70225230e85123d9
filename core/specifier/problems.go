package specifier

import (
	"cmp"
	"fmt"
	"strings"
)

// maxProblems keeps the answer to a hostile input short.
const maxProblems = 20

// Problems collects what is wrong with an input, by field, so that all of it is reported together.
type Problems struct {
	lines []string
}

// Add records that the value of field is wrong.
func (p *Problems) Add(field, format string, args ...any) {
	if len(p.lines) < maxProblems {
		p.lines = append(p.lines, field+": "+fmt.Sprintf(format, args...))
	}
}

// Merge adds the problems of a part of the input, under the path of that part; an empty path
// adds them unchanged.
func (p *Problems) Merge(path string, part *Problems) {
	if part == nil {
		return
	}
	prefix := ""
	if path != "" {
		prefix = path + "."
	}
	for _, line := range part.lines {
		if len(p.lines) < maxProblems {
			p.lines = append(p.lines, prefix+line)
		}
	}
}

// OrNil returns nil when nothing was recorded.
func (p *Problems) OrNil() *Problems {
	if len(p.lines) == 0 {
		return nil
	}
	return p
}

// Lines returns one line for each problem.
func (p *Problems) Lines() []string { return p.lines }

// Error joins the problems.
func (p *Problems) Error() string { return strings.Join(p.lines, "; ") }

// Name records a name that is empty or longer than MaxName.
func (p *Problems) Name(field, text string) {
	if text == "" || len(text) > MaxName {
		p.Add(field, "has %d bytes, expected 1 to %d", len(text), MaxName)
	}
}

// checkRange records a value that is not from low to high. NaN is recorded too, because every comparison with it is false.
func checkRange[T cmp.Ordered](p *Problems, field string, value, low, high T) {
	if !(value >= low && value <= high) {
		p.Add(field, "is %v, expected %v to %v", value, low, high)
	}
}

func indexed(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
