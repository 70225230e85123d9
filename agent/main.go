// Agent runs tasks of entries on the upstream beside it.
//
//	agent -settings FILE              settings of this agent
//	agent -settings FILE -name NAME   settings of a deployment that lists it
//
// The exit status is 0 after a complete shutdown, 1 after the failure of a component, 2 when the agent could not
// start, and 3 when the shutdown was aborted.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/agent/runner"
	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/exporter"
	"oleandertally/core/launcher"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

const (
	// maxEvents is enough for several seconds of the time line of one worker, in about 4 MB. All control processes on a
	// worker together have 32 MB.
	maxEvents = 1 << 14
	// faultLogInterval is the minimum time between log lines of the same fault.
	faultLogInterval = time.Minute
)

func main() {
	signals, restore := supervisor.Signals()
	defer restore()
	err := run(context.Background(), os.Args[1:], signals, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
	}
	os.Exit(launcher.ExitCode(err))
}

// run runs the agent until its shutdown, and writes the log to out.
func run(ctx context.Context, arguments []string, signals <-chan os.Signal, out io.Writer) error {
	parsed, err := launcher.ParseArguments("agent", arguments, out)
	if err != nil {
		return err
	}
	settings, err := launcher.Read(parsed, configurator.Read[configurator.AgentSettings], (*configurator.DeploymentSettings).Agent)
	if err != nil {
		return err
	}
	log, err := supervisor.NewLogger(out, settings.LogLevel, settings.Name, specifier.Agent)
	if err != nil {
		return errors.Mark(err, launcher.ErrSettings)
	}
	faults := supervisor.NewFaultLog(log, faultLogInterval, time.Now)
	security, err := authenticator.New(settings.Security, authenticator.Peer{Role: specifier.Agent, Name: settings.Name}, time.Now,
		func(err error) { faults.Report(supervisor.Fields{Event: "CertificateNotReloaded"}, err) })
	if err != nil {
		return errors.Mark(err, launcher.ErrSettings)
	}
	metrics, health := exporter.NewAgent(), supervisor.NewHealth(runner.Conditions()...)
	agent := &runner.Agent{Settings: settings, Security: security, Metrics: metrics, Health: health, Log: log,
		Events: &recorder.Buffer{Cap: maxEvents, Clock: time.Now}}
	launched := &launcher.Launcher{Process: settings.ProcessSettings, Program: agent, Health: health, Metrics: metrics.Handler(),
		Log: log, Signals: signals}
	return launched.Run(ctx)
}
