package supervisor

import "fmt"

// PanicError is a panic that Guard turned into an error.
type PanicError struct {
	Value any
	Stack string
}

// Error returns the value of the panic and the stack.
func (p *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", p.Value, p.Stack) }
