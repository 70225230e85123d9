package replicator

// Write is the number of a disk action, counted from 1 since the process started. A log index cannot take its place: after
// a truncation the same index is written again, and a late report about the first write must not count for the second.
type Write uint64
