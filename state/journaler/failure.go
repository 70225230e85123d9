package journaler

// failure is an error that matches ErrFailed and wraps its cause.
type failure struct {
	cause error
}

// Error returns the text of ErrFailed followed by the cause.
func (f *failure) Error() string { return ErrFailed.Error() + ": " + f.cause.Error() }

// Is reports whether target is ErrFailed.
func (f *failure) Is(target error) bool { return target == ErrFailed }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }
