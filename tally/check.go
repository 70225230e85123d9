package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"

	"oleandertally/core/configurator"
)

const checkUsage = `tally check [flags] FILE ...
  Checks files before they are used, without asking any process. Code 7: problems were found.

Flags:
  -kind KIND         what the files hold: profiles, entry, agent, controller, deployment or
                     operator; default profiles
  -json              print JSON for programs instead of lines

Examples:
  tally check holds.yaml
  tally check -kind deployment site.yaml
`

// checkers maps each kind of file to its check, which takes the file's name and content.
var checkers = map[string]func(name string, data []byte) error{
	"profiles":   checkerOf(configurator.Parse[configurator.ProfileSettings]),
	"entry":      checkerOf(configurator.Parse[configurator.EntrySettings]),
	"agent":      checkerOf(configurator.Parse[configurator.AgentSettings]),
	"controller": checkerOf(configurator.Parse[configurator.ControllerSettings]),
	"deployment": checkerOf(configurator.Parse[configurator.DeploymentSettings]),
	"operator":   checkerOf(configurator.Parse[configurator.OperatorSettings]),
}

// checkerOf returns a check that parses the file and discards the settings.
func checkerOf[S any](parse func(name string, data []byte) (S, error)) func(name string, data []byte) error {
	return func(name string, data []byte) error {
		_, err := parse(name, data)
		return err
	}
}

// checkCommand implements tally check.
type checkCommand struct {
	env  *environment
	kind string
	json bool
}

func (c *checkCommand) name() string  { return "check" }
func (c *checkCommand) usage() string { return checkUsage }

func (c *checkCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "profiles", "")
	f.BoolVar(&c.json, "json", false, "")
}

func (c *checkCommand) run(_ context.Context, args []string) error {
	check, ok := checkers[c.kind]
	if !ok {
		kinds := strings.Join(slices.Sorted(maps.Keys(checkers)), ", ")
		return fail(exitUsage, "", "-kind is %q, expected one of: %s", c.kind, kinds)
	}
	if len(args) == 0 {
		return fail(exitUsage, "see: tally help check", "no files")
	}
	var reports []checkReport
	problems := 0
	for _, name := range args {
		report := checkReport{File: name}
		data, err := c.env.readFile(name)
		if err == nil {
			err = check(name, data)
		}
		if err != nil {
			report.Problem = strings.TrimPrefix(err.Error(), name+": ")
			problems++
		}
		reports = append(reports, report)
	}
	if err := c.print(reports); err != nil {
		return err
	}
	if problems > 0 {
		return fail(exitDifferent, "", "%d of %d files have problems", problems, len(args))
	}
	return nil
}

func (c *checkCommand) print(reports []checkReport) error {
	if c.json {
		return writeJSON(c.env.stdout, reports)
	}
	for _, report := range reports {
		if report.Problem == "" {
			report.Problem = "correct"
		}
		fmt.Fprintf(c.env.stdout, "%s: %s\n", report.File, report.Problem)
	}
	return nil
}
