package specifier

// EndKind is how a run ended.
type EndKind uint8

// The kinds of ends. EndRefusedFence and the later ones are of starts that did not lead to a run.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLeaseExpired     // its lease expired
	EndGroupMemberEnded // another member of its group ended
	EndGroupIncomplete  // the other members of its group did not arrive
	EndRefusedFence     // the worker has received a higher fencing token
	EndRefusedStaleRun  // the worker has already started this run or a later one of the task
	EndRefusedLate      // the lease in the start had already expired
	EndRefusedResources // the worker has too few free resources
	EndRefusedUnhealthy // the worker reports itself unhealthy and did not start the run
	EndRefusedOther
	EndUnanswered // the start was not answered and can no longer happen
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
