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

func newPools(security *authenticator.Authenticator, maxMessage int, control, all stats.Handler) pools {
	pool := func(role specifier.Role) *dialer.Pool {
		p := &dialer.Pool{Credentials: security.ClientCredentials(role, ""), MaxMessage: maxMessage}
		if all != nil {
			p.Stats = append(p.Stats, all)
		}
		return p
	}
	p := pools{controllers: pool(specifier.Controller), agents: pool(specifier.Agent), entries: pool(specifier.Entry)}
	p.controllers.Stats = append(p.controllers.Stats, control)
	return p
}

func (p pools) close() {
	p.controllers.Close()
	p.agents.Close()
	p.entries.Close()
}
