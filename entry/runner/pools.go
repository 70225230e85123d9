package runner

import (
	"google.golang.org/grpc/stats"

	"oleandertally/core/authenticator"
	"oleandertally/core/dialer"
	"oleandertally/core/specifier"
)

// pools are the connections to each role; a connection accepts only a server of its role.
type pools struct {
	controllers *dialer.Pool
	agents      *dialer.Pool
	entries     *dialer.Pool
}

// newPools returns empty pools. Control sees the messages to and from controllers, all those of every pool; all
// may be nil.
func newPools(security *authenticator.Authenticator, maxMessage int, control, all stats.Handler) pools {
	var handlers []stats.Handler
	if all != nil {
		handlers = append(handlers, all)
	}
	pool := func(role specifier.Role) *dialer.Pool {
		return &dialer.Pool{Credentials: security.ClientCredentials(role, ""), MaxMessage: maxMessage, Stats: handlers}
	}
	p := pools{controllers: pool(specifier.Controller), agents: pool(specifier.Agent), entries: pool(specifier.Entry)}
	p.controllers.Stats = append([]stats.Handler{control}, handlers...)
	return p
}

func (p pools) close() {
	p.controllers.Close()
	p.agents.Close()
	p.entries.Close()
}
