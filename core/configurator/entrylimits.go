package configurator

import (
	"time"

	"oleandertally/core/specifier"
)

// EntryLimits bound the memory and connections that callers can make an entry use.
type EntryLimits struct {
	MaxBody       ByteSize      `yaml:"MaxBody"`       // limit of the body of one submission
	MaxRequests   int           `yaml:"MaxRequests"`   // limit of concurrent requests from callers
	MaxJobs       int           `yaml:"MaxJobs"`       // limit of jobs that this entry owns and has not answered yet
	HeaderTimeout time.Duration `yaml:"HeaderTimeout"` // time in which a caller must send the headers of a request
	BodyTimeout   time.Duration `yaml:"BodyTimeout"`   // time in which a caller must send a whole request
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
