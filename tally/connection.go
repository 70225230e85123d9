package main

import (
	"context"
	"flag"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// controllersVariable names the environment variable that -controllers defaults to.
const controllersVariable = "OLEANDERTALLY_CONTROLLERS"

const (
	// rounds and between cover an election, which takes less than a few seconds.
	rounds  = 4
	between = time.Second
)

// connection holds the flags of every command that asks the controllers.
type connection struct {
	env         *environment
	controllers string
	attempt     time.Duration
	json        bool
}

// connectionFlags is their part of a usage text.
const connectionFlags = `  -controllers LIST  IP:port of each controller, with commas; default $OLEANDERTALLY_CONTROLLERS
  -attempt DURATION  limit of one call to one controller; default 5s
  -json              print JSON for programs instead of tables
`

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.controllers, "controllers", c.env.getenv(controllersVariable), "")
	f.DurationVar(&c.attempt, "attempt", 5*time.Second, "")
	f.BoolVar(&c.json, "json", false, "")
}

// client returns a client for the controllers that the flags name.
func (c *connection) client() (*operator.Client, error) {
	addrs, err := parseAddrs(c.controllers)
	if err != nil {
		return nil, err
	}
	if len(addrs) == 0 {
		return nil, fail(exitUsage, "give -controllers IP:port,IP:port or set "+controllersVariable, "no controllers given")
	}
	if c.attempt <= 0 {
		return nil, fail(exitUsage, "", "-attempt is %v, expected more than 0", c.attempt)
	}
	return &operator.Client{Controllers: addrs, Credentials: insecure.NewCredentials(), Attempt: c.attempt, Rounds: rounds, Between: between,
		Pause: c.env.pause, Clock: c.env.clock}, nil
}

// read returns the state in force.
func (c *connection) read(ctx context.Context) (operator.State, error) {
	return c.readAt(ctx, 0)
}

func (c *connection) readAt(ctx context.Context, revision uint64) (operator.State, error) {
	client, err := c.client()
	if err != nil {
		return operator.State{}, err
	}
	state, err := client.Read(ctx, specifier.Revision(revision))
	return state, explain(err)
}

// parseAddrs reads a list of IP:port with commas.
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
