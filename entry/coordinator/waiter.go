package coordinator

// Waiter identifies one request that waits for an answer. Each request gets exactly one Reply,
// unless it is abandoned first.
type Waiter uint64
