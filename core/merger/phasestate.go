package merger

// PhaseState is the progress of a phase.
type PhaseState string

// The states of a phase.
const (
	Ended   PhaseState = "Ended"
	Cut     PhaseState = "Cut"     // the answer ended the phase before its last step
	Open    PhaseState = "Open"    // no recorded event ends the phase; Spent counts up to the last event of its process
	Skipped PhaseState = "Skipped" // the job did not reach the phase
)
