package scheduler

// Scheduler is the engine with the placement used by entries.
type Scheduler = Engine[LateBinding, *LateBinding]
