package operator

import (
	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// History keeps the newest configurations, for comparing with and reverting to an earlier
// revision. Cap is set before use; one goroutine uses it.
type History struct {
	Cap  int // revisions kept
	ring container.Ring[specifier.Configuration]
}

// Add keeps configuration, which must not change afterwards. One that is not newer than the
// newest is ignored.
func (h *History) Add(configuration specifier.Configuration) {
	kept := h.ring.All()
	if len(kept) > 0 && kept[len(kept)-1].Revision >= configuration.Revision {
		return
	}
	h.ring.Cap = h.Cap
	h.ring.Add(configuration)
}

// At returns the configuration at revision, or ErrRevisionUnavailable.
func (h *History) At(revision specifier.Revision) (specifier.Configuration, error) {
	for _, configuration := range h.ring.All() {
		if configuration.Revision == revision {
			return configuration, nil
		}
	}
	return specifier.Configuration{}, ErrRevisionUnavailable
}
