package replicator

// Term numbers the elections; at most one server leads in a term.
type Term uint64
