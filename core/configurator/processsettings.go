package configurator

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ProcessSettings are the keys that entries, agents and controllers share.
type ProcessSettings struct {
	Name        string           `yaml:"Name"`        // unique in the site
	Zone        string           `yaml:"Zone"`        // availability zone
	Rack        string           `yaml:"Rack"`        // hosts of a rack fail together
	MetricsAddr netip.AddrPort   `yaml:"MetricsAddr"` // HTTP: /metrics, /readyz, /livez
	LogLevel    string           `yaml:"LogLevel"`    // Debug, Info, Warn or Error
	StopWithin  time.Duration    `yaml:"StopWithin"`  // a graceful shutdown is cut off after this time
	MaxMessage  ByteSize         `yaml:"MaxMessage"`  // largest gRPC message accepted
	Security    SecuritySettings `yaml:"Security"`
}

// defaultMaxMessage holds the answer to a job of specifier.MaxTasks results of
// specifier.MaxResult each, 17 MiB, which one entry sends to another.
const defaultMaxMessage = 32 * Mebibyte

var logLevels = []string{"Debug", "Info", "Warn", "Error"}

func (s *ProcessSettings) setDefaults() {
	s.LogLevel = "Info"
	s.StopWithin = 30 * time.Second
	s.MaxMessage = defaultMaxMessage
}

func (s *ProcessSettings) resolve(folder string) { s.Security.resolve(folder) }

func (s *ProcessSettings) check(c checker) {
	c.name("Name", s.Name)
	c.name("Zone", s.Zone)
	c.name("Rack", s.Rack)
	c.addr("MetricsAddr", s.MetricsAddr)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.add("LogLevel", "%s, expected one of %s", quote(s.LogLevel), strings.Join(logLevels, ", "))
	}
	inRange(c, "StopWithin", s.StopWithin, time.Second, 10*time.Minute)
	inRange(c, "MaxMessage", s.MaxMessage, Mebibyte, 64*Mebibyte)
}
