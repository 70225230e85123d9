package specifier

// Incarnation tells two runs of one process apart. It is random, so that a host whose clock
// went back cannot reuse one.
type Incarnation uint64
