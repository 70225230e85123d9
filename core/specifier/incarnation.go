package specifier

// Incarnation distinguishes the runs of one process. It is random, so that a host whose clock
// was set back cannot reuse one.
type Incarnation uint64
