package configurator

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ProcessSettings are the keys that entries, agents and controllers share.
type ProcessSettings struct {
	Name        string           `yaml:"Name"`        // unique within the site
	Zone        string           `yaml:"Zone"`        // availability zone
	Rack        string           `yaml:"Rack"`        // hosts of a rack fail together
	MetricsAddr netip.AddrPort   `yaml:"MetricsAddr"` // HTTP address of /metrics, /readyz and /livez
	LogLevel    string           `yaml:"LogLevel"`    // Debug, Info, Warn or Error
	StopWithin  time.Duration    `yaml:"StopWithin"`  // time limit of a graceful shutdown
	MaxMessage  ByteSize         `yaml:"MaxMessage"`  // size limit of a gRPC message
	Security    SecuritySettings `yaml:"Security"`
}

// defaultMaxMessage is above the 17 MiB of the largest message: one entry sends another the answer to
// a job with specifier.MaxTasks results of specifier.MaxResult bytes each.
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
