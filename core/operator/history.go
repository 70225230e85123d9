package operator

import (
	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// History stores the newest configurations, so that operators can compare with an earlier revision or revert to it. Cap
// is set before use. History is not safe for concurrent use.
type History struct {
	Cap  int // maximum number of revisions
	ring container.Ring[specifier.Configuration]
}

// Add stores configuration, which must not change afterwards. It ignores a configuration that is not newer than the
// newest stored one.
func (h *History) Add(configuration specifier.Configuration) {
	stored := h.ring.All()
	if len(stored) > 0 && stored[len(stored)-1].Revision >= configuration.Revision {
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
