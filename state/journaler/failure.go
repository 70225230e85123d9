package journaler

// failure is an ErrFailed with its cause.
type failure struct {
	cause error
}

// Error names the cause.
func (f *failure) Error() string { return ErrFailed.Error() + ": " + f.cause.Error() }

// Is matches ErrFailed.
func (f *failure) Is(target error) bool { return target == ErrFailed }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }
