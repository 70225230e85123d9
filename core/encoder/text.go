package encoder

import (
	"net/netip"
	"strings"
)

// clean makes text that came from outside fit for a message: protobuf refuses to encode text
// that is not UTF-8, and decoding refuses more than limit bytes.
func clean(text string, limit int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > limit {
		text = strings.ToValidUTF8(text[:limit], "")
	}
	return text
}

// address returns the empty text for the zero address.
func address(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return ""
	}
	return addr.String()
}
