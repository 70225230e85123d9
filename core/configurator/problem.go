package configurator

import "fmt"

// Problem is one mistake in a file.
type Problem struct {
	File  string
	Line  int    // from 1; the line of the enclosing block when the field is missing
	Field string // path from the root, such as Security.Teams[2].Name; empty for the whole file
	Text  string
}

// String returns the problem as "file:line: field: text".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}
