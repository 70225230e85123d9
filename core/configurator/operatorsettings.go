package configurator

import (
	"net/netip"
	"time"
)

// OperatorSettings are the settings of the command-line tool for operators.
type OperatorSettings struct {
	Name        string           `yaml:"Name"` // name of the operator, recorded with each change of the configuration
	Controllers []netip.AddrPort `yaml:"Controllers"`
	TokenFile   string           `yaml:"TokenFile"` // file with the operator's token
	Timeout     time.Duration    `yaml:"Timeout"`   // time limit of one command
	MaxMessage  ByteSize         `yaml:"MaxMessage"`
	Security    SecuritySettings `yaml:"Security"`
}

func (s *OperatorSettings) setDefaults() {
	s.Timeout = 10 * time.Second
	s.MaxMessage = defaultMaxMessage
}

func (s *OperatorSettings) resolve(folder string) {
	s.Security.resolve(folder)
	resolvePath(&s.TokenFile, folder)
}

func (s *OperatorSettings) check(c checker) {
	c.name("Name", s.Name)
	c.dialAddrs("Controllers", s.Controllers)
	inRange(c, "Timeout", s.Timeout, 100*time.Millisecond, time.Hour)
	inRange(c, "MaxMessage", s.MaxMessage, Mebibyte, 64*Mebibyte)
	s.Security.check(c.at("Security"))
	for _, field := range []string{"Security.Teams", "Security.Operators"} {
		if c.present(field) {
			c.add(field, "has no effect at the command line")
		}
	}
	if !s.Security.Insecure {
		c.text("TokenFile", s.TokenFile, "the file with the operator's token")
	}
}
