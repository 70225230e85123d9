package dispatcher

// AgentDisconnected tells that the stream of an agent ended.
type AgentDisconnected struct{ Stream Stream }
