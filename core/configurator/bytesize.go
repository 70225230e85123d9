package configurator

import (
	"fmt"
	"strconv"
	"strings"
)

// ByteSize is a number of bytes, written in settings with its unit: "512B", "64KiB", "4MiB" or "1GiB".
type ByteSize int64

// The units of a ByteSize.
const (
	Byte     ByteSize = 1
	Kibibyte          = 1 << 10 * Byte
	Mebibyte          = 1 << 20 * Byte
	Gibibyte          = 1 << 30 * Byte
)

var byteUnits = []struct {
	suffix string
	size   ByteSize
}{{"GiB", Gibibyte}, {"MiB", Mebibyte}, {"KiB", Kibibyte}, {"B", Byte}}

// UnmarshalText parses a whole number with a unit, without a space between them.
func (b *ByteSize) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 31)
		if err != nil {
			break
		}
		*b = ByteSize(number) * unit.size
		return nil
	}
	return fmt.Errorf(`expected a whole number with the unit B, KiB, MiB or GiB, such as "4MiB"`)
}

// MarshalText is the inverse of UnmarshalText.
func (b ByteSize) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// String returns the size in the largest unit that divides it.
func (b ByteSize) String() string {
	for _, unit := range byteUnits {
		if b != 0 && b%unit.size == 0 {
			return fmt.Sprintf("%d%s", b/unit.size, unit.suffix)
		}
	}
	return "0B"
}
