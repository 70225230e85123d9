package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"oleandertally/core/merger"
	"oleandertally/core/operator"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

const timelineUsage = `tally timeline [flags]
  Shows what happened to a job, at a worker or in a span of time, over all processes.

For one job a summary comes first: how it was answered and why it was refused, and how long it
waited at the entry, for the record and in the agent's queue, and ran. Processes keep a limited
number of events in memory.

Flags:
  -team NAME         team of the job; with -key
  -key KEY           idempotency key of the job; with -team
  -job ID            id of the job, 32 hexadecimal digits, instead of -team and -key
  -worker NAME       only events at this process or about it
  -from TIME         not before this time, such as 2026-05-04T09:00:00Z
  -to TIME           not after this time
  -html FILE         write a page with a lane for each process instead of text
  -at LIST           IP:port of further processes to ask, with commas
` + connectionFlags + `
Examples:
  tally timeline -team ventas -key cut-plan-7
  tally timeline -team reservas -key hold-1 -html hold-1.html
  tally timeline -worker worker-17 -from 2026-05-04T09:00:00Z -to 2026-05-04T09:00:05Z
`

// maxConcurrentRequests limits how many processes are called concurrently.
const maxConcurrentRequests = 32

// timelineCommand implements tally timeline.
type timelineCommand struct {
	connection
	team, key, job string
	worker         string
	from, to       string
	html           string
	at             string
}

func (c *timelineCommand) name() string  { return "timeline" }
func (c *timelineCommand) usage() string { return timelineUsage }

func (c *timelineCommand) setFlags(f *flag.FlagSet) {
	c.connection.setFlags(f)
	f.StringVar(&c.team, "team", "", "")
	f.StringVar(&c.key, "key", "", "")
	f.StringVar(&c.job, "job", "", "")
	f.StringVar(&c.worker, "worker", "", "")
	f.StringVar(&c.from, "from", "", "")
	f.StringVar(&c.to, "to", "", "")
	f.StringVar(&c.html, "html", "", "")
	f.StringVar(&c.at, "at", "", "")
}

func (c *timelineCommand) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return fail(exitUsage, "see: tally help timeline", "unexpected argument %q", args[0])
	}
	filter, err := c.filter()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	addrs, err := c.processes(ctx, client)
	if err != nil {
		return err
	}
	logs, err := c.gather(ctx, client, addrs, filter)
	if err != nil {
		return err
	}
	timeline := merger.Merge(logs).Filter(filter)
	return c.show(timeline, filter.Job)
}

// filter returns the filter that the flags describe.
func (c *timelineCommand) filter() (recorder.Filter, error) {
	filter := recorder.Filter{Worker: c.worker}
	if (c.team == "") != (c.key == "") || c.team != "" && c.job != "" {
		return filter, fail(exitUsage, "", "give -team and -key together, or -job, or none of them")
	}
	if c.team != "" {
		filter.Job = specifier.NewJobID(c.team, c.key)
	}
	if c.job != "" {
		raw, err := hex.DecodeString(c.job)
		if err != nil || len(raw) != len(filter.Job) {
			return filter, fail(exitUsage, "", "-job is %q, expected 32 hexadecimal digits", c.job)
		}
		filter.Job = specifier.JobID(raw)
	}
	var err error
	if filter.Span.From, err = parseTime("-from", c.from); err != nil {
		return filter, err
	}
	filter.Span.To, err = parseTime("-to", c.to)
	return filter, err
}

func parseTime(name, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fail(exitUsage, "", "%s is %q, expected a time such as 2026-05-04T09:00:00Z", name, text)
	}
	return at, nil
}

// processes returns the addresses of all members that are not Down, of the controllers, and of -at. When no leader
// answers, it returns only the addresses of the -controllers and -at flags or the settings.
func (c *timelineCommand) processes(ctx context.Context, client *operator.Client) ([]netip.AddrPort, error) {
	addrs, err := parseAddrs(c.at)
	if err != nil {
		return nil, err
	}
	addrs = append(addrs, client.Controllers...)
	state, err := client.Read(ctx, 0)
	if err != nil {
		fmt.Fprintf(c.env.stderr, "members are unknown, asking %d addresses only: %v\n", len(addrs), err)
	}
	client.SetMembers(state.Members)
	for _, member := range state.Members {
		if member.State != specifier.Down {
			addrs = append(addrs, member.Addr)
		}
	}
	for _, controller := range state.Controllers {
		if controller.Addr.IsValid() {
			addrs = append(addrs, controller.Addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return slices.Compact(addrs), nil
}

// gather fetches the events of every process. It prints the processes that do not answer to stderr.
func (c *timelineCommand) gather(ctx context.Context, client *operator.Client, addrs []netip.AddrPort, filter recorder.Filter) ([]merger.Log, error) {
	logs := make([]merger.Log, len(addrs))
	errs := make([]error, len(addrs))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, addr := range addrs {
		group.Go(func() error {
			logs[i], errs[i] = client.Gather(ctx, addr, filter)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var answered []merger.Log
	for i, err := range errs {
		if err != nil {
			fmt.Fprintf(c.env.stderr, "%s does not answer, its events are missing: %v\n", addrs[i], err)
			continue
		}
		answered = append(answered, logs[i])
	}
	if len(answered) == 0 {
		return nil, fail(exitUnreachable, "check -controllers, or name processes with -at", "none of %d processes answered", len(addrs))
	}
	return answered, nil
}

func (c *timelineCommand) show(timeline merger.Timeline, job specifier.JobID) error {
	if c.json {
		return writeJSON(c.env.stdout, newTimelineReport(timeline, job))
	}
	if c.html == "" {
		return merger.WriteText(c.env.stdout, timeline, job)
	}
	var page bytes.Buffer
	if err := merger.WriteHTML(&page, timeline, job); err != nil {
		return err
	}
	if err := c.env.writeFile(c.html, page.Bytes()); err != nil {
		return fail(exitFailed, "", "%v", err)
	}
	_, err := fmt.Fprintf(c.env.stdout, "%d events of %d processes are in %s\n", len(timeline.Entries), len(timeline.Clocks), c.html)
	return err
}
