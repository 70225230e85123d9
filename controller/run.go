package main

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/controller/server"
	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/exporter"
	"oleandertally/core/launcher"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

// faultLogInterval is the minimum time between two log lines for the same fault.
const faultLogInterval = time.Minute

// run serves until the shutdown has finished. It writes the log to out.
func run(ctx context.Context, list []string, signals <-chan os.Signal, out io.Writer) error {
	bootstrap := false
	parsed, err := launcher.ParseArguments("controller", list, out, func(flags *flag.FlagSet) {
		flags.BoolVar(&bootstrap, "bootstrap", false, "begin a new site; only for its first controller, on a new data folder")
	})
	if err != nil {
		return err
	}
	settings, err := launcher.Read(parsed, configurator.Read[configurator.ControllerSettings], (*configurator.DeploymentSettings).Controller)
	if err != nil {
		return err
	}
	log, err := supervisor.NewLogger(out, settings.LogLevel, settings.Name, specifier.Controller)
	if err != nil {
		return errors.Mark(err, launcher.ErrSettings)
	}
	controller, err := newController(settings, bootstrap, log)
	if err != nil {
		return errors.Mark(err, launcher.ErrSettings)
	}
	launched := &launcher.Launcher{Process: settings.ProcessSettings, Program: controller, Health: controller.Health,
		Metrics: controller.MetricsHandler(), Log: log, Signals: signals}
	return launched.Run(ctx)
}

func newController(settings configurator.ControllerSettings, bootstrap bool, log zerolog.Logger) (*server.Controller, error) {
	faults := supervisor.NewFaultLog(log, faultLogInterval, time.Now)
	security, err := authenticator.New(settings.Security, authenticator.Peer{Role: specifier.Controller, Name: settings.Name}, time.Now,
		func(err error) { faults.Report(supervisor.Fields{Event: "CertificateNotReloaded"}, err) })
	if err != nil {
		return nil, err
	}
	controller := server.FromSettings(settings)
	controller.Bootstrap, controller.Security, controller.Log = bootstrap, security, log
	controller.Metrics, controller.Health = exporter.NewController(), supervisor.NewHealth(server.Conditions()...)
	controller.Health.Probe = controller.Probe
	return controller, nil
}
