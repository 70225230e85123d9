package journaler

import (
	"fmt"
	"strconv"
	"strings"
)

const segmentSuffix = ".journal"

// segment is one file of the log.
type segment struct {
	number       uint64
	highestIndex uint64 // highest index of a record ever written to the file; 0 if no record of the file is needed
	size         int64  // in bytes, once the segment is sealed
}

func (s segment) name() string { return fmt.Sprintf("%016d%s", s.number, segmentSuffix) }

// parseSegment parses a file name. It returns false if the file is not a segment.
func parseSegment(name string) (segment, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != 16 {
		return segment{}, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return segment{number: number}, err == nil && number > 0
}
