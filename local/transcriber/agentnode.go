package transcriber

import (
	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
)

// agentNode is one agent process and its upstream.
type agentNode struct {
	id      specifier.Identity
	zone    string
	machine *executor.Executor
	alive   bool
}
