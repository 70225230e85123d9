package dispatcher

// AgentDisconnected reports that the stream of an agent ended.
type AgentDisconnected struct{ Stream Stream }
