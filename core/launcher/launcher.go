package launcher

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/configurator"
	"oleandertally/core/supervisor"
)

// headerTimeout limits how long a client of the metrics server may take to send its request headers.
const headerTimeout = 5 * time.Second

// Launcher runs a program. Its fields must be set before Run.
type Launcher struct {
	Process configurator.ProcessSettings
	Program Program
	Health  *supervisor.Health
	Metrics http.Handler
	Log     zerolog.Logger
	Signals <-chan os.Signal
}

// Run runs the program until it has shut down, and returns nil after a complete shutdown. ExitCode
// converts the error to an exit code.
func (l *Launcher) Run(ctx context.Context) error {
	metrics, err := net.Listen("tcp", l.Process.MetricsAddr.String())
	if err != nil {
		return errors.Mark(errors.Wrap(err, "listen on MetricsAddr"), ErrSettings)
	}
	if err := l.Program.Open(); err != nil {
		metrics.Close()
		return errors.Mark(err, ErrSettings)
	}
	routes := http.NewServeMux()
	l.Health.Register(routes)
	routes.Handle("GET /metrics", l.Metrics)
	group := supervisor.NewGroup(context.WithoutCancel(ctx))
	group.Go("Metrics", supervisor.Serve(&http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout}, metrics))
	group.Go("Program", l.Program.Run)
	running := &supervisor.Supervisor{Log: l.Log, Health: l.Health, Group: group, Steps: l.Program.Steps(),
		StopWithin: l.Process.StopWithin, Signals: l.Signals}
	return running.Run(ctx)
}
