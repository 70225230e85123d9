package replicator

// Index is a position in the log, counted from 1.
type Index uint64
