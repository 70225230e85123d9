package encoder

import (
	"net/netip"
	"strings"
)

// sanitize returns text as valid UTF-8 of at most limit bytes. Protobuf refuses to encode text from
// outside that is not UTF-8, and decoding refuses longer text.
func sanitize(text string, limit int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > limit {
		text = strings.ToValidUTF8(text[:limit], "")
	}
	return text
}

// formatAddr returns the empty text for the zero address.
func formatAddr(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return ""
	}
	return addr.String()
}
