package registrar

// phase is the state of a submission.
type phase uint8

const (
	owned     phase = 1 // the owner accepted the job directly
	takenOver phase = 2 // the owner replaced another owner and must fence before it dispatches
	released  phase = 3 // the owner gave the job up; no task has started or will start under this epoch
	finished  phase = 4
	cancelled phase = 5 // cancelled before acceptance, so the digest is unknown
	refused   phase = 6 // answered with NotRun; may be accepted again after refusedUntil
)
