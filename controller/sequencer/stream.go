package sequencer

// Stream identifies one open stream of an entry, an agent or an operator.
type Stream uint64
