package merger

// PhaseState says how far a phase came.
type PhaseState string

// The states of a phase.
const (
	Ended   PhaseState = "Ended"
	Cut     PhaseState = "Cut"     // the answer ended it
	Open    PhaseState = "Open"    // nothing recorded ends it; Spent counts to its process's last event
	Skipped PhaseState = "Skipped" // the job did not come to it
)
