package dispatcher

// Action is Propose, Reply, Order or LogEvent.
type Action any
