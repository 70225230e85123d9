package coordinator

// Waiter identifies one request that waits for an answer. Each gets exactly one Reply,
// unless it is abandoned.
type Waiter uint64
