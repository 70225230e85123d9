package driver

import (
	"bytes"
	"io"
	"time"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
	"oleandertally/state/registrar"
)

// Image is the replicated state at one index. It does not change while later entries are applied.
type Image struct {
	Queues   *encoder.QueueImage
	Registry *registrar.Image
}

// Encode writes the queues and then the registry.
func (m *Image) Encode(w io.Writer) error {
	if err := jobrecorder.Write(w, m.Queues); err != nil {
		return err
	}
	return m.Registry.Encode(w)
}

// DecodeImage reads what Encode wrote.
func DecodeImage(content []byte, retention time.Duration) (*jobrecorder.Recorder, *registrar.Registrar, error) {
	reader := bytes.NewReader(content)
	queues, err := jobrecorder.Read(reader, retention)
	if err != nil {
		return nil, nil, err
	}
	registry, err := registrar.Decode(reader, specifier.MaxSubmissions)
	return queues, registry, err
}
