package specifier

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxZone bounds the name of an availability zone, in bytes.
const MaxZone = 64

// CheckZone returns what is wrong with the name of an availability zone that an operator gives, or nil.
func CheckZone(zone string) *Problems {
	p := &Problems{}
	checkRange(p, "Zone: the length in bytes", len(zone), 1, MaxZone)
	if !utf8.ValidString(zone) || strings.ContainsFunc(zone, func(r rune) bool { return !unicode.IsPrint(r) }) {
		p.Add("Zone", "has characters that can't be printed, expected printable UTF-8")
	}
	return p.OrNil()
}
