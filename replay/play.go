package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"oleandertally/replay/player"
	"oleandertally/replay/reporter"
	"oleandertally/replay/tracer"
)

// playCommand plays the traces of a folder, or generated ones.
type playCommand struct {
	folder   string
	seed     uint64
	length   time.Duration
	traces   string
	variants string
}

// Name returns the name of the command.
func (*playCommand) Name() string { return "play" }

// Synopsis describes the command in a line.
func (*playCommand) Synopsis() string { return "play traces and print tables" }

// Usage describes the command.
func (*playCommand) Usage() string {
	return "play [-folder DIR | -seed N -length D] [-traces RE] [-variants RE]\n"
}

// SetFlags defines the flags.
func (c *playCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.folder, "folder", "examples/traces", "folder of recorded traces")
	flags.Uint64Var(&c.seed, "seed", 0, "generate the traces from this seed instead of reading them")
	flags.DurationVar(&c.length, "length", time.Minute, "length of generated traces")
	flags.StringVar(&c.traces, "traces", "", "regular expression of trace names to play")
	flags.StringVar(&c.variants, "variants", "", "regular expression of variants to play")
}

// Execute plays the traces.
func (c *playCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *playCommand) run(to io.Writer) error {
	traceFilter, err := regexp.Compile(c.traces)
	if err != nil {
		return errors.Wrap(err, "-traces")
	}
	variantFilter, err := regexp.Compile(c.variants)
	if err != nil {
		return errors.Wrap(err, "-variants")
	}
	traces, err := c.load()
	if err != nil {
		return err
	}
	for _, trace := range traces {
		if !traceFilter.MatchString(trace.Name) {
			continue
		}
		if err := compare(to, trace, variantFilter); err != nil {
			return err
		}
	}
	return nil
}

func (c *playCommand) load() ([]tracer.Trace, error) {
	if c.seed != 0 {
		return tracer.Catalog(c.seed, c.length), nil
	}
	paths, err := filepath.Glob(filepath.Join(c.folder, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		return nil, errors.Newf("no traces (*.jsonl) in %s", c.folder)
	}
	var traces []tracer.Trace
	for _, path := range paths {
		trace, err := readFile(path)
		if err != nil {
			return nil, err
		}
		traces = append(traces, trace)
	}
	return traces, nil
}

func readFile(path string) (tracer.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return tracer.Trace{}, errors.Wrap(err, "open trace")
	}
	defer file.Close()
	trace, err := tracer.Read(file)
	return trace, errors.Wrap(err, path)
}

// compare plays one trace with the selected variants and prints the table.
func compare(to io.Writer, trace tracer.Trace, variantFilter *regexp.Regexp) error {
	var rows []reporter.Summary
	for _, variant := range variants() {
		if !variantFilter.MatchString(variant.Name) {
			continue
		}
		row := reporter.Summarize(variant.Name, trace, player.Play(trace, variant))
		if without := trace.Without(reporter.Batch); len(without.Jobs) < len(trace.Jobs) {
			row.Blocking = row.ShortP99 / reporter.Summarize("", without, player.Play(without, variant)).ShortP99
		}
		rows = append(rows, row)
	}
	rows = append(rows, singleQueueRow(trace))
	title := fmt.Sprintf("%s: %d jobs in %v, demand %.2f, %d entries, seed %d", trace.Name, len(trace.Jobs),
		trace.Length(), trace.Demand, trace.Entries, trace.Seed)
	return reporter.Print(to, title, rows)
}

// singleQueueRow returns the row of a single queue that knows every run time, as the best case.
func singleQueueRow(trace tracer.Trace) reporter.Summary {
	row := reporter.Summarize("one queue, run times known", trace, player.PlaySingleQueue(trace))
	if without := trace.Without(reporter.Batch); len(without.Jobs) < len(trace.Jobs) {
		row.Blocking = row.ShortP99 / reporter.Summarize("", without, player.PlaySingleQueue(without)).ShortP99
	}
	return row
}
