package tracer

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Write writes a trace in the format that Read reads.
func Write(to io.Writer, trace Trace) error {
	lines := json.NewEncoder(to)
	if err := lines.Encode(trace); err != nil {
		return errors.Wrap(err, "write header")
	}
	for _, job := range trace.Jobs {
		if err := lines.Encode(job); err != nil {
			return errors.Wrap(err, "write job")
		}
	}
	return nil
}
