package dispatcher

// Stream is an open stream of an entry or an agent.
type Stream uint64
