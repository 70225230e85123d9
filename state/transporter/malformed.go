package transporter

import "github.com/cockroachdb/errors"

// ErrMalformed means that a peer sent a message that violates the protocol.
var ErrMalformed = errors.New("malformed message from a controller")

func malformed(field, format string, args ...any) error {
	return errors.Wrapf(errors.Wrapf(ErrMalformed, format, args...), "%s", field)
}
