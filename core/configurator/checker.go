package configurator

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"

	"oleandertally/core/specifier"
)

// checker records problems of decoded settings. Its methods take field paths relative to prefix.
type checker struct {
	decoder *decoder
	prefix  string
}

// at returns a checker for the fields of the block at field.
func (c checker) at(field string) checker { return checker{c.decoder, c.path(field)} }

// item returns a checker for one item of the list at field.
func (c checker) item(field string, i int) checker { return c.at(fmt.Sprintf("%s[%d]", field, i)) }

func (c checker) path(field string) string {
	if c.prefix == "" || field == "" {
		return c.prefix + field
	}
	return c.prefix + "." + field
}

// add records a problem of field, unless the decoder has already rejected its value.
func (c checker) add(field, format string, args ...any) {
	if c.rejected(field) {
		return
	}
	path := c.path(field)
	c.decoder.problems = append(c.decoder.problems,
		Problem{c.decoder.file, c.decoder.line(path), path, fmt.Sprintf(format, args...)})
}

// rejected reports whether the decoder rejected the value of field or of an enclosing block.
func (c checker) rejected(field string) bool {
	for path := c.path(field); path != ""; path = parentPath(path) {
		if c.decoder.rejected[path] {
			return true
		}
	}
	return false
}

// line returns the line of the field at path, or of the innermost enclosing block that the file has.
func (d *decoder) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		if path == "" {
			return 1
		}
		path = parentPath(path)
	}
}

// parentPath returns the path of the block that encloses path, or "" for the root.
func parentPath(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

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
	case strings.ContainsFunc(name, invalidInName):
		c.add(field, "%s, expected letters, digits, '-', '_' and '.' only", quote(name))
	}
}

// invalidInName reports whether r may not occur in a name. Names appear unescaped in URIs, log
// fields and metric labels.
func invalidInName(r rune) bool {
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

// dialAddr checks an address that other processes connect to, which cannot be a wildcard.
func (c checker) dialAddr(field string, addr netip.AddrPort) {
	c.addr(field, addr)
	if addr.Addr().IsUnspecified() {
		c.add(field, "%s cannot be connected to, expected the address of one interface", addr)
	}
}

func (c checker) dialAddrs(field string, addrs []netip.AddrPort) {
	if len(addrs) == 0 {
		c.add(field, "missing, expected at least one address")
	}
	seen := make(map[netip.AddrPort]bool)
	for i, addr := range addrs {
		item := fmt.Sprintf("%s[%d]", field, i)
		c.dialAddr(item, addr)
		if seen[unmap(addr)] {
			c.add(item, "%s is listed twice", addr)
		}
		seen[unmap(addr)] = true
	}
}

// unmap turns an IPv4-mapped IPv6 address into the IPv4 address, so that equal addresses compare equal.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// inRange checks that value is between low and high, both included.
func inRange[V cmp.Ordered](c checker, field string, value, low, high V) {
	if value < low || value > high {
		c.add(field, "%v, expected %v to %v", value, low, high)
	}
}
