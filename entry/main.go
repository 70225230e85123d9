// Entry accepts jobs from callers over HTTP and dispatches their tasks to agents.
//
//	entry -settings FILE              settings of this entry
//	entry -settings FILE -name NAME   settings of a deployment that lists it
//
// The exit status is 0 after a complete shutdown, 1 after the failure of a component, 2 when the entry could not
// start, and 3 when the shutdown was aborted.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/exporter"
	"oleandertally/core/launcher"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/entry/runner"
)

const (
	// maxEvents is enough for several seconds of the time line at peak load, in about 16 MB.
	maxEvents = 1 << 16
	// maxNotice exceeds the time of three failed probes by a load balancer that probes every second.
	maxNotice = 5 * time.Second
	// faultLogInterval is the minimum time between log lines of the same fault.
	faultLogInterval = time.Minute
)

func main() {
	signals, restore := supervisor.Signals()
	defer restore()
	err := run(context.Background(), os.Args[1:], signals, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
	}
	os.Exit(launcher.ExitCode(err))
}

// run runs an entry until its shutdown has ended. The log goes to out.
func run(ctx context.Context, arguments []string, signals <-chan os.Signal, out io.Writer) error {
	parsed, err := launcher.ParseArguments("entry", arguments, out)
	if err != nil {
		return err
	}
	settings, err := launcher.Read(parsed, configurator.Read[configurator.EntrySettings], (*configurator.DeploymentSettings).Entry)
	if err != nil {
		return err
	}
	log, err := supervisor.NewLogger(out, settings.LogLevel, settings.Name, specifier.Entry)
	if err != nil {
		return errors.Mark(err, launcher.ErrSettings)
	}
	faults := supervisor.NewFaultLog(log, faultLogInterval, time.Now)
	security, err := authenticator.New(settings.Security, authenticator.Peer{Role: specifier.Entry, Name: settings.Name}, time.Now,
		func(err error) { faults.Report(supervisor.Fields{Event: "CertificateNotReloaded"}, err) })
	if err != nil {
		return errors.Mark(err, launcher.ErrSettings)
	}
	metrics, health := exporter.NewEntry(), supervisor.NewHealth(runner.Conditions()...)
	entry := &runner.Entry{Settings: settings, Security: security, Metrics: metrics, Health: health, Log: log,
		Events: &recorder.Buffer{Cap: maxEvents, Clock: time.Now}, Notice: min(maxNotice, settings.StopWithin/4)}
	launched := &launcher.Launcher{Process: settings.ProcessSettings, Program: entry, Health: health, Metrics: metrics.Handler(),
		Log: log, Signals: signals}
	return launched.Run(ctx)
}
