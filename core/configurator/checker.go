package configurator

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"

	"oleandertally/core/specifier"
)

// checker records what is wrong with decoded settings. Fields are named by their path below prefix.
type checker struct {
	decoder *decoder
	prefix  string
}

// at returns a checker for the block at field.
func (c checker) at(field string) checker { return checker{c.decoder, c.path(field)} }

// item returns a checker for one item of the list at field.
func (c checker) item(field string, i int) checker { return c.at(fmt.Sprintf("%s[%d]", field, i)) }

func (c checker) path(field string) string {
	if c.prefix == "" || field == "" {
		return c.prefix + field
	}
	return c.prefix + "." + field
}

// add records a problem of field, unless it is broken.
func (c checker) add(field, format string, args ...any) {
	if c.broken(field) {
		return
	}
	path := c.path(field)
	c.decoder.problems = append(c.decoder.problems,
		Problem{c.decoder.file, c.decoder.line(path), path, fmt.Sprintf(format, args...)})
}

// broken reports whether the value of field or a block around it was refused.
func (c checker) broken(field string) bool {
	for at := c.path(field); at != ""; at = enclosing(at) {
		if c.decoder.broken[at] {
			return true
		}
	}
	return false
}

// line returns the line of the field at path, or of the closest block around it.
func (d *decoder) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		if path == "" {
			return 1
		}
		path = enclosing(path)
	}
}

// enclosing returns the path of the block around the field at path, empty for the root.
func enclosing(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

// present reports whether the file sets field.
func (c checker) present(field string) bool {
	_, ok := c.decoder.lines[c.path(field)]
	return ok
}

func (c checker) name(field, name string) {
	switch {
	case name == "":
		c.add(field, "missing, expected a name")
	case len(name) > specifier.MaxName:
		c.add(field, "has %d bytes, expected at most %d", len(name), specifier.MaxName)
	case strings.ContainsFunc(name, notNamePart):
		c.add(field, "%s, expected letters, digits, '-', '_' and '.' only", quote(name))
	}
}

// notNamePart keeps names usable unchanged in URIs, log fields and metric labels.
func notNamePart(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
}

func (c checker) text(field, text, expected string) {
	if text == "" {
		c.add(field, "missing, expected %s", expected)
	}
}

func (c checker) addr(field string, addr netip.AddrPort) {
	switch {
	case addr == netip.AddrPort{}:
		c.add(field, `missing, expected an IP address and a port, such as "10.0.0.1:7101"`)
	case addr.Port() == 0:
		c.add(field, "%s has port 0, expected 1 to 65535", addr)
	}
}

// dialed checks an address that other processes connect to.
func (c checker) dialed(field string, addr netip.AddrPort) {
	c.addr(field, addr)
	if addr.Addr().IsUnspecified() {
		c.add(field, "%s cannot be connected to, expected the address of one interface", addr)
	}
}

func (c checker) addrs(field string, addrs []netip.AddrPort) {
	if len(addrs) == 0 {
		c.add(field, "missing, expected at least one address")
	}
	seen := make(map[netip.AddrPort]bool)
	for i, addr := range addrs {
		at := fmt.Sprintf("%s[%d]", field, i)
		c.dialed(at, addr)
		if seen[unmap(addr)] {
			c.add(at, "%s is listed twice", addr)
		}
		seen[unmap(addr)] = true
	}
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// inRange checks a number, a duration or a size.
func inRange[V cmp.Ordered](c checker, field string, value, low, high V) {
	if value < low || value > high {
		c.add(field, "%v, expected %v to %v", value, low, high)
	}
}
