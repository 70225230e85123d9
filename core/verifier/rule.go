package verifier

// Rule names a promise that recorded events can break.
type Rule string

// The rules that Check applies.
const (
	StartOnce       Rule = "StartOnce"       // no task starts twice, unless repeatable and the first run was lost
	NotRunIsTrue    Rule = "NotRunIsTrue"    // a job answered NotRun has no started task
	CompleteIsWhole Rule = "CompleteIsWhole" // a Complete answer has every task ended
	OneAnswer       Rule = "OneAnswer"       // each submission gets at most one answer
	NoContradiction Rule = "NoContradiction" // answers of one job agree
	FenceHolds      Rule = "FenceHolds"      // no start under an epoch below a fence that the agent has seen
	DrainHolds      Rule = "DrainHolds"      // no start later than a bound after a drain
)
