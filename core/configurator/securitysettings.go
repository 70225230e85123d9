package configurator

// SecuritySettings name the certificate of a process and the tokens that it accepts.
type SecuritySettings struct {
	Insecure    bool            `yaml:"Insecure"`    // no certificates, and no tokens are checked
	Certificate string          `yaml:"Certificate"` // PEM file with the chain of this process
	Key         string          `yaml:"Key"`         // PEM file with its private key
	Authority   string          `yaml:"Authority"`   // PEM file with the CA certificates of the site
	Teams       []TokenSettings `yaml:"Teams"`       // callers, at an entry
	Operators   []TokenSettings `yaml:"Operators"`
}

func (s *SecuritySettings) resolve(folder string) {
	resolvePath(&s.Certificate, folder)
	resolvePath(&s.Key, folder)
	resolvePath(&s.Authority, folder)
}

func (s *SecuritySettings) check(c checker) {
	if c.broken("Insecure") {
		return // the rest depends on it
	}
	files := []struct{ field, path, holds string }{
		{"Certificate", s.Certificate, "the certificate of this process"},
		{"Key", s.Key, "its private key"},
		{"Authority", s.Authority, "the CA certificates of the site"},
	}
	for _, file := range files {
		switch {
		case s.Insecure && file.path != "":
			c.add(file.field, "has no effect with Insecure: true")
		case !s.Insecure && file.path == "":
			c.add(file.field, "missing, expected the PEM file with %s, or Insecure: true", file.holds)
		}
	}
	checkTokens(c, "Teams", s.Teams, s.Insecure)
	checkTokens(c, "Operators", s.Operators, s.Insecure)
}

// checkNeeded reports a list without which nobody could be let in.
func (s *SecuritySettings) checkNeeded(c checker, field string, tokens []TokenSettings) {
	if !s.Insecure && !c.broken("Insecure") && len(tokens) == 0 {
		c.add(field, "missing, expected at least one name with a token digest")
	}
}

func checkTokens(c checker, field string, tokens []TokenSettings, insecure bool) {
	if insecure && len(tokens) > 0 {
		c.add(field, "has no effect with Insecure: true")
	}
	names := make(map[string]bool)
	owners := make(map[TokenDigest]string)
	for i, token := range tokens {
		at := c.item(field, i)
		token.check(at, owners)
		if names[token.Name] && token.Name != "" {
			at.add("Name", "%s is listed twice", quote(token.Name))
		}
		names[token.Name] = true
	}
}
