package replicator

// Write numbers the disk actions from 1 since the process started. An index would not do: after a truncation the
// same index is written again, and a late report about the first write must not count for the second.
type Write uint64
