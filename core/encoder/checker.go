package encoder

import (
	"net/netip"
	"strconv"
	"time"

	"oleandertally/core/specifier"
)

// checker converts the fields of one message and collects their problems. A path names a field
// from the outermost message on, such as "AcceptJob.Owner.Name".
type checker struct {
	problems specifier.Problems
}

// err returns the collected problems, or nil.
func (c *checker) err() error {
	if found := c.problems.OrNil(); found != nil {
		return found
	}
	return nil
}

// require records a message field that is not set, and reports whether it is set.
func (c *checker) require(path string, set bool) bool {
	if !set {
		c.problems.Add(path, "is missing")
	}
	return set
}

// name accepts 1 to MaxName bytes.
func (c *checker) name(path, text string) string {
	if text == "" {
		c.problems.Add(path, "is empty, expected 1 to %d bytes", specifier.MaxName)
	}
	return c.text(path, text, specifier.MaxName)
}

// text accepts up to limit bytes.
func (c *checker) text(path, text string, limit int) string {
	if len(text) > limit {
		c.problems.Add(path, "has %d bytes, expected at most %d", len(text), limit)
		return ""
	}
	return text
}

func (c *checker) job(path string, raw []byte) specifier.JobID {
	var id specifier.JobID
	c.exact(path, raw, id[:])
	return id
}

func (c *checker) digest(path string, raw []byte) specifier.Digest {
	var digest specifier.Digest
	c.exact(path, raw, digest[:])
	return digest
}

// exact copies raw to target when their lengths are equal.
func (c *checker) exact(path string, raw, target []byte) {
	if len(raw) != len(target) {
		c.problems.Add(path, "has %d bytes, expected %d", len(raw), len(target))
		return
	}
	copy(target, raw)
}

// duration accepts a number of nanoseconds from low to high.
func (c *checker) duration(path string, nanoseconds int64, low, high time.Duration) time.Duration {
	span := time.Duration(nanoseconds)
	if span < low || span > high {
		c.problems.Add(path, "is %v, expected %v to %v", span, low, high)
		return low
	}
	return span
}

// count accepts a number from low to high.
func (c *checker) count(path string, number int32, low, high int) int {
	if int(number) < low || int(number) > high {
		c.problems.Add(path, "is %d, expected %d to %d", number, low, high)
		return low
	}
	return int(number)
}

// length reports whether a list has at most limit items. A longer list must not be converted.
func (c *checker) length(path string, items, limit int) bool {
	if items > limit {
		c.problems.Add(path, "has %d items, expected at most %d", items, limit)
		return false
	}
	return true
}

// epoch accepts the epochs that the registrar assigns, which start at 1.
func (c *checker) epoch(path string, number uint64) specifier.Epoch {
	if number == 0 {
		c.problems.Add(path, "is 0, expected at least 1")
	}
	return specifier.Epoch(number)
}

// addr accepts an IP address with a port other than 0.
func (c *checker) addr(path, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 {
		c.problems.Add(path, "is %s, expected IP:port", quoted(text))
		return netip.AddrPort{}
	}
	return addr
}

// optionalAddr converts the empty text to the zero address.
func (c *checker) optionalAddr(path, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	return c.addr(path, text)
}

// oneOf accepts one of the allowed values of a string type.
func oneOf[T ~string](c *checker, path, text string, allowed ...T) T {
	for _, value := range allowed {
		if string(value) == text {
			return value
		}
	}
	c.problems.Add(path, "is %s, expected one of %v", quoted(text), allowed)
	return ""
}

// quoted returns the quoted text, shortened so that an error does not repeat a long hostile value.
func quoted(text string) string {
	const limit = 64
	if len(text) > limit {
		text = text[:limit]
	}
	return strconv.Quote(text)
}

func indexed(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
