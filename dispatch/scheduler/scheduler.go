package scheduler

// Scheduler is the engine with the placement that entries use.
type Scheduler = Engine[LateBinding, *LateBinding]
