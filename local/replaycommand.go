package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/specifier"
	"oleandertally/local/deployer"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

// stopTimeout is the longest time that a shutdown waits for jobs in flight.
const stopTimeout = 30 * time.Second

// roundTrip is the assumed network delay from a caller to an entry and back, which is negligible on loopback.
const roundTrip = time.Millisecond

// replayCommand replays a job file on a local site, or with serve keeps the site running for callers.
type replayCommand struct {
	jobs    string
	starts  string
	serve   bool
	verbose bool
	out     io.Writer
}

// run returns the exit code: 0 if every guarantee held, 1 if one was violated.
func (c *replayCommand) run(ctx context.Context) (int, error) {
	trace, err := readTrace(c.jobs)
	if err != nil {
		return 0, err
	}
	starts := &emulator.StartLog{}
	if c.serve && c.starts == "" {
		c.starts = "starts.log"
	}
	if c.starts != "" {
		file, err := os.Create(c.starts)
		if err != nil {
			return 0, errors.Wrap(err, "create the log of starts")
		}
		defer file.Close()
		starts.Out = file
	}
	folder, err := os.MkdirTemp("", "oleandertally-local-")
	if err != nil {
		return 0, errors.Wrap(err, "create the data folder")
	}
	defer os.RemoveAll(folder)
	site := c.site(starts)
	site.DataFolder = folder
	if !c.serve {
		claim, err := deployer.NewClaim()
		if err != nil {
			return 0, err
		}
		defer claim.Release()
		site.Layout = claim.Layout
	}
	// A signal must not cancel the roles' context, because the site is then shut down gracefully.
	if err := site.Start(context.WithoutCancel(ctx)); err != nil {
		return 0, errors.CombineErrors(err, site.Stop())
	}
	if c.serve {
		c.printAddresses(site)
		<-ctx.Done()
		fmt.Fprintln(c.out, "stopping: jobs in flight are answered first; Ctrl-C again cuts them off")
		return 0, c.stop(site)
	}
	startedAt := time.Now()
	sender := &submitter.Submitter{Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, Prefix: trace.Name}
	for i := range site.Entries {
		sender.Entries = append(sender.Entries, site.Layout.Entry(i))
	}
	results, err := sender.Replay(ctx, trace)
	if err != nil {
		return 0, errors.CombineErrors(err, site.Stop())
	}
	elapsed := time.Since(startedAt)
	if err := site.Stop(); err != nil {
		return 0, err
	}
	report := newReport(trace, results, site, starts, elapsed)
	report.print(c.out)
	if len(report.violations) > 0 {
		return 1, nil
	}
	return 0, nil
}

// stop drains a site and then stops it, so that jobs in flight are answered.
func (c *replayCommand) stop(site *deployer.Site) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.CombineErrors(site.Drain(ctx), site.Stop())
}

func readTrace(path string) (tracer.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return tracer.Trace{}, errors.Wrap(err, "open the job file")
	}
	defer file.Close()
	trace, err := tracer.Read(file)
	return trace, errors.Wrapf(err, "%s", path)
}

// site returns a site with Alisio's present zones, racks and slots, on the fixed addresses of -serve.
func (c *replayCommand) site(starts *emulator.StartLog) *deployer.Site {
	base := netip.AddrFrom4([4]byte{127, 1, 0, 0})
	log := zerolog.Nop()
	if c.verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	return &deployer.Site{
		Layout: deployer.Layout{Base: base}, Zones: []string{"alajuela", "heredia", "cartago"}, Service: "reservas",
		Entries: 2, Controllers: 3, Workers: 11, MemberLease: 3 * time.Second, Starts: starts, Log: log,
		Profiles: []specifier.Profile{
			{Name: "hold", Service: "reservas"},
			{Name: "quote", Service: "reservas", Repeatable: true},
			{Name: "mix", Service: "reservas", TypicalTime: 600 * time.Millisecond},
			{Name: "batch", Service: "reservas", TypicalTime: 15 * time.Second, Repeatable: true},
		},
	}
}

func (c *replayCommand) printAddresses(site *deployer.Site) {
	fmt.Fprintf(c.out, "ready; stop with Ctrl-C\n")
	for i := range site.Entries {
		fmt.Fprintf(c.out, "entry-%d       http://%s/v1/jobs\n", i+1, site.Layout.Entry(i))
	}
	for i := range site.Controllers {
		fmt.Fprintf(c.out, "controller-%d  %s\n", i+1, site.Layout.Controller(i))
	}
	fmt.Fprintf(c.out, "profiles      hold, quote (repeatable), mix, batch (repeatable)\nstarts        %s\n\n", c.starts)
	fmt.Fprintf(c.out, `curl -s -H 'Idempotency-Key: hold-1' -d '{"Team":"web","Profile":"hold","TimeLeft":"5s","Tasks":[{"Id":"slot-9","Payload":{"RunMillis":200}}]}' http://%s/v1/jobs`+"\n",
		site.Layout.Entry(0))
}
