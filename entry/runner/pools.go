package runner

import (
	"google.golang.org/grpc/stats"

	"oleandertally/core/authenticator"
	"oleandertally/core/dialer"
	"oleandertally/core/specifier"
)

// pools are the connections to the members of each role. A connection accepts only a server of that role.
type pools struct {
	controllers *dialer.Pool
	agents      *dialer.Pool
	entries     *dialer.Pool
}

// newPools returns empty pools. The handler control observes the connections to controllers; every observes the
// connections of all pools and may be nil.
func newPools(security *authenticator.Authenticator, maxMessage int, control, every stats.Handler) pools {
	var handlers []stats.Handler
	if every != nil {
		handlers = append(handlers, every)
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
