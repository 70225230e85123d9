package configurator

import (
	"time"

	"oleandertally/core/specifier"
)

// EntryLimits bound what callers can make an entry hold.
type EntryLimits struct {
	MaxBody       ByteSize      `yaml:"MaxBody"`       // body of one submission
	MaxRequests   int           `yaml:"MaxRequests"`   // callers' requests open at once
	MaxJobs       int           `yaml:"MaxJobs"`       // jobs owned and not yet answered
	HeaderTimeout time.Duration `yaml:"HeaderTimeout"` // time for a caller to send the headers of a request
	BodyTimeout   time.Duration `yaml:"BodyTimeout"`   // time for a caller to send a whole request
}

func (l *EntryLimits) setDefaults() {
	l.MaxBody = specifier.MaxBody
	l.MaxRequests = 10_000
	l.MaxJobs = 10_000
	l.HeaderTimeout = 5 * time.Second
	l.BodyTimeout = 10 * time.Second
}

func (l *EntryLimits) check(c checker) {
	inRange(c, "MaxBody", l.MaxBody, Kibibyte, specifier.MaxBody)
	inRange(c, "MaxRequests", l.MaxRequests, 1, 100_000)
	inRange(c, "MaxJobs", l.MaxJobs, 1, 1_000_000)
	inRange(c, "HeaderTimeout", l.HeaderTimeout, 100*time.Millisecond, time.Minute)
	inRange(c, "BodyTimeout", l.BodyTimeout, 100*time.Millisecond, time.Minute)
}
