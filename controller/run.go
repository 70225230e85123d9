package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/controller/server"
	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/reporter"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

const (
	// faultEvery bounds how often an equal fault is logged.
	faultEvery = time.Minute
	// headerTimeout bounds how long a connection for metrics may wait to send its request.
	headerTimeout = 5 * time.Second
)

// run returns after a shutdown. The log goes to out.
func run(ctx context.Context, list []string, signals <-chan os.Signal, out io.Writer) error {
	parsed, err := parseArguments(list, out)
	if err != nil {
		return errors.Mark(err, errNoStart)
	}
	settings, err := parsed.read()
	if err != nil {
		return errors.Mark(err, errNoStart)
	}
	log, err := supervisor.NewLogger(out, settings.LogLevel, settings.Name, specifier.Controller)
	if err != nil {
		return errors.Mark(err, errNoStart)
	}
	controller, err := newController(settings, parsed.bootstrap, log)
	if err != nil {
		return errors.Mark(err, errNoStart)
	}
	return serve(ctx, settings, controller, signals)
}

func newController(settings configurator.ControllerSettings, bootstrap bool, log zerolog.Logger) (*server.Controller, error) {
	faults := supervisor.NewFaultLog(log, faultEvery, time.Now)
	security, err := authenticator.New(settings.Security, authenticator.Peer{Role: specifier.Controller, Name: settings.Name}, time.Now,
		func(err error) { faults.Report(supervisor.Fields{Event: "CertificateNotReloaded"}, err) })
	if err != nil {
		return nil, err
	}
	controller := server.FromSettings(settings)
	controller.Bootstrap, controller.Security, controller.Log = bootstrap, security, log
	controller.Metrics, controller.Health = reporter.NewController(), supervisor.NewHealth(server.Conditions()...)
	controller.Health.Probe = controller.Probe
	return controller, nil
}

// serve opens everything before it serves anything, so that a fault ends the process at its start.
func serve(ctx context.Context, settings configurator.ControllerSettings, controller *server.Controller, signals <-chan os.Signal) error {
	metrics, err := net.Listen("tcp", settings.MetricsAddr.String())
	if err != nil {
		return errors.Mark(errors.Wrap(err, "listen on MetricsAddr"), errNoStart)
	}
	if err := controller.Open(); err != nil {
		metrics.Close()
		return errors.Mark(err, errNoStart)
	}
	routes := http.NewServeMux()
	controller.Health.Register(routes)
	routes.Handle("GET /metrics", controller.MetricsHandler())
	group := supervisor.NewGroup(context.WithoutCancel(ctx))
	group.Go("Metrics", supervisor.Serve(&http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout}, metrics))
	group.Go("Controller", controller.Run)
	running := &supervisor.Supervisor{Log: controller.Log, Health: controller.Health, Group: group, Steps: controller.Steps(),
		StopWithin: settings.StopWithin, Signals: signals}
	return running.Run(ctx)
}
