package main

import (
	"context"
	"flag"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// The environment variables that give the defaults of -settings and -controllers.
const (
	settingsVariable    = "OLEANDERTALLY_SETTINGS"
	controllersVariable = "OLEANDERTALLY_CONTROLLERS"
)

const (
	// maxRounds and roundInterval together outlast an election, which takes a few seconds at most.
	maxRounds     = 4
	roundInterval = time.Second
)

// connection contains the flags of every command that calls the controllers.
type connection struct {
	env            *environment
	settings       string
	controllers    string
	attemptTimeout time.Duration
	json           bool
	operatorName   string // of the operator in the settings; empty without settings
}

// connectionFlags is the part of the usage text for the flags of connection.
const connectionFlags = `  -settings FILE     the operator's settings: name, controllers, certificate and token;
                     default $OLEANDERTALLY_SETTINGS
  -controllers LIST  IP:port of each controller, with commas; default $OLEANDERTALLY_CONTROLLERS
  -attempt DURATION  limit of one call to one controller; default 5s
  -json              print JSON for programs instead of tables
`

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", c.env.getenv(settingsVariable), "")
	f.StringVar(&c.controllers, "controllers", c.env.getenv(controllersVariable), "")
	f.DurationVar(&c.attemptTimeout, "attempt", 5*time.Second, "")
	f.BoolVar(&c.json, "json", false, "")
}

// client returns a client for the controllers that the flags or the settings list.
func (c *connection) client() (*operator.Client, error) {
	addrs, err := parseAddrs(c.controllers)
	if err != nil {
		return nil, err
	}
	if c.attemptTimeout <= 0 {
		return nil, fail(exitUsage, "", "-attempt is %v, expected more than 0", c.attemptTimeout)
	}
	client := &operator.Client{Controllers: addrs, Credentials: insecure.NewCredentials(), AttemptTimeout: c.attemptTimeout, MaxRounds: maxRounds, RoundInterval: roundInterval,
		Pause: c.env.pause, Clock: c.env.clock}
	if c.settings != "" {
		if err := c.applySettings(client); err != nil {
			return nil, err
		}
	}
	if len(client.Controllers) == 0 {
		return nil, fail(exitUsage, "give -settings FILE or -controllers IP:port,IP:port, or set "+controllersVariable, "no controllers given")
	}
	return client, nil
}

// applySettings sets the client's credentials and token from the settings, and limits its timeout to the one in the
// settings. It also sets the controllers, unless -controllers lists them.
func (c *connection) applySettings(client *operator.Client) error {
	settings, err := configurator.Read[configurator.OperatorSettings](c.settings)
	if err != nil {
		return fail(exitUsage, "see docs/settings.md", "%v", err)
	}
	if len(client.Controllers) == 0 {
		client.Controllers = settings.Controllers
	}
	self := authenticator.Peer{Role: authenticator.Operator, Name: settings.Name}
	security, err := authenticator.New(settings.Security, self, c.env.clock, func(error) {})
	if err != nil {
		return fail(exitFailed, "", "%v", err)
	}
	token, err := authenticator.NewOperatorToken(settings)
	if err != nil {
		return fail(exitFailed, "", "%v", err)
	}
	c.operatorName = settings.Name
	client.AttemptTimeout = min(client.AttemptTimeout, settings.Timeout)
	client.Credentials, client.PerRPC = security.ClientCredentials(specifier.Controller, ""), token
	client.RoleCredentials = func(role specifier.Role) credentials.TransportCredentials {
		return security.ClientCredentials(role, "")
	}
	return nil
}

// read returns the state in force.
func (c *connection) read(ctx context.Context) (operator.State, error) {
	return c.readAt(ctx, 0)
}

// readAt returns the state with the configuration at revision; 0 is the one in force.
func (c *connection) readAt(ctx context.Context, revision uint64) (operator.State, error) {
	client, err := c.client()
	if err != nil {
		return operator.State{}, err
	}
	state, err := client.Read(ctx, specifier.Revision(revision))
	return state, explain(err)
}

// parseAddrs parses a comma-separated list of IP:port.
func parseAddrs(list string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for item := range strings.SplitSeq(list, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(item)
		if err != nil {
			return nil, fail(exitUsage, "", "address %q: expected IP:port", item)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
