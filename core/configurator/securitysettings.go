package configurator

// SecuritySettings are the certificate files of a process and the tokens that it accepts.
type SecuritySettings struct {
	Insecure    bool            `yaml:"Insecure"`    // turns off TLS and all checks of certificates and tokens
	Certificate string          `yaml:"Certificate"` // PEM file with the certificate chain of this process
	Key         string          `yaml:"Key"`         // PEM file with the private key of the certificate
	Authority   string          `yaml:"Authority"`   // PEM file with the CA certificates of the site
	Teams       []TokenSettings `yaml:"Teams"`       // tokens of callers, by team; entries only
	Operators   []TokenSettings `yaml:"Operators"`   // tokens of operators
}

func (s *SecuritySettings) resolve(folder string) {
	resolvePath(&s.Certificate, folder)
	resolvePath(&s.Key, folder)
	resolvePath(&s.Authority, folder)
}

func (s *SecuritySettings) check(c checker) {
	if c.rejected("Insecure") {
		return // whether the other keys are required depends on it
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

// checkRequired reports an empty list of tokens, with which every request would be rejected.
func (s *SecuritySettings) checkRequired(c checker, field string, tokens []TokenSettings) {
	if !s.Insecure && !c.rejected("Insecure") && len(tokens) == 0 {
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
