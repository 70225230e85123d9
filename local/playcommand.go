package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/dispatcher"
	"oleandertally/dispatch/admitter"
	"oleandertally/local/loadplayer"
)

// playCommand plays a named load against the decisions of the leading controller, with the default admission policy,
// without one, and with the true speeds known, and with the run times known as well, and prints what callers got.
type playCommand struct {
	scenario string
	seed     uint64
	out      io.Writer
}

// run returns the exit code.
func (c *playCommand) run(ctx context.Context) (int, error) {
	scenario, err := loadplayer.Named(c.scenario)
	if err != nil {
		return 0, err
	}
	for _, variant := range []struct {
		name          string
		policy        admitter.Policy
		speeds, times bool
	}{
		{name: "admission by objective", policy: admitter.ByObjective{}},
		{name: "every job is admitted", policy: admitter.Always{}},
		{name: "speeds known", policy: admitter.ByObjective{}, speeds: true},
		{name: "speeds and run times known", policy: admitter.ByObjective{}, speeds: true, times: true},
	} {
		settings := dispatcher.Defaults()
		settings.Admission = variant.policy
		player := &loadplayer.Player{Scenario: scenario, Seed: c.seed, Settings: settings, KnowsSpeeds: variant.speeds, KnowsTimes: variant.times}
		report, err := player.Run(ctx)
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(c.out, "%s: ", variant.name)
		if err := report.Print(c.out); err != nil {
			return 0, errors.Wrap(err, "print the report")
		}
	}
	return 0, nil
}
