package specifier

// EndKind is how a run ended.
type EndKind uint8

// The ways in which a run ends. The last ones are those of a start that was refused.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLeaseExpired     // its lease expired
	EndGroupMemberEnded // another member of its group ended
	EndGroupIncomplete  // the other members of its group did not come
	EndRefusedFence
	EndRefusedStaleRun
	EndRefusedLate
	EndRefusedResources
	EndRefusedUnhealthy // the worker says that it is not well, and did nothing
	EndRefusedOther
	EndUnanswered // the start had no answer, and can no longer happen
)

var endNames = [...]string{"Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "RefusedFence", "RefusedOld", "RefusedLate",
	"RefusedRoom", "RefusedSick", "RefusedOther", "Unanswered"}

// String returns the name for logs.
func (k EndKind) String() string {
	if int(k) < len(endNames) {
		return endNames[k]
	}
	return "Unknown"
}
