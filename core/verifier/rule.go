package verifier

// Rule names a guarantee that recorded events can violate.
type Rule string

// The rules that Check applies.
const (
	StartOnce       Rule = "StartOnce"       // no task starts twice, unless repeatable and the first run was lost
	NotRunIsTrue    Rule = "NotRunIsTrue"    // a job answered NotRun has no started task
	CompleteIsWhole Rule = "CompleteIsWhole" // a Complete answer has every task ended
	OneAnswer       Rule = "OneAnswer"       // each submission gets at most one answer
	NoContradiction Rule = "NoContradiction" // answers of one job agree
	FenceHolds      Rule = "FenceHolds"      // no start under an epoch below a fence that the agent has received
	DrainHolds      Rule = "DrainHolds"      // no start after the grace period of a drain
)
