package journaler

import (
	"fmt"
	"strconv"
	"strings"
)

const segmentSuffix = ".journal"

// segment is one file of the log.
type segment struct {
	number  uint64
	highest uint64 // index of any record ever written to it; 0 when it holds none that is needed
}

func (s segment) name() string { return fmt.Sprintf("%016d%s", s.number, segmentSuffix) }

// parseSegment returns false for other files of the folder.
func parseSegment(name string) (segment, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != 16 {
		return segment{}, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return segment{number: number}, err == nil && number > 0
}
