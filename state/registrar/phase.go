package registrar

// phase is where a submission stands.
type phase uint8

const (
	owned     phase = 1 // its owner accepted it first
	takenOver phase = 2 // its owner replaced another one and must fence before it dispatches
	released  phase = 3 // no task has started under its epoch and none will
	finished  phase = 4
	cancelled phase = 5 // cancelled before it was accepted, so its digest is unknown
	refused   phase = 6 // answered NotRun; may be accepted once held is reached
)
