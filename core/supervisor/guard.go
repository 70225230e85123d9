package supervisor

import "runtime/debug"

// Guard calls run and returns its error. A panic of run becomes a *PanicError, so that an unexpected message ends the stream or the
// request that carries it, and not the process. It protects no state that run shares with others: the control goroutine of a
// process must end after a panic.
func Guard(run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Value: value, Stack: string(debug.Stack())}
		}
	}()
	return run()
}

// Guarded returns run under Guard, for a goroutine group.
func Guarded(run func() error) func() error {
	return func() error { return Guard(run) }
}
