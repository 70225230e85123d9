package merger

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"text/tabwriter"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// timeFormat shows microseconds: a placement or a hop inside a zone takes less than 1 ms.
const timeFormat = "15:04:05.000000"

// trailing is the padding of empty columns at the end of a line.
var trailing = regexp.MustCompile(`(?m) +$`)

// WriteText writes the time line for a terminal, with the summary of job on top when job is
// not zero.
func WriteText(w io.Writer, timeline Timeline, job specifier.JobID) error {
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	if job != (specifier.JobID{}) {
		for _, line := range Summarize(timeline, job).Lines() {
			fmt.Fprintln(table, line)
		}
		fmt.Fprintln(table)
	}
	for _, line := range timeline.Warnings() {
		fmt.Fprintln(table, line)
	}
	writeClocks(table, timeline.Clocks)
	writeEntries(table, timeline.Entries)
	table.Flush() // writes to memory, cannot fail
	_, err := w.Write(trailing.ReplaceAll(text.Bytes(), nil))
	return err
}

func writeClocks(w io.Writer, clocks []Clock) {
	fmt.Fprintln(w, "PROCESS\tCLOCK AHEAD BY\tBOUNDS\tEVENTS\tDROPPED")
	for _, c := range clocks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", c.Process, round(c.Skew), c.Bounds(), c.Events, c.Dropped)
	}
	fmt.Fprintln(w)
}

func writeEntries(w io.Writer, entries []Entry) {
	fmt.Fprintln(w, "TIME\tAFTER\tPROCESS\tEVENT\tTASK\tEPOCH\tPEER\tDETAIL")
	for i, e := range entries {
		after := time.Duration(0)
		if i > 0 {
			after = e.Aligned.Sub(entries[i-1].Aligned)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Aligned.UTC().Format(timeFormat), signed(after),
			recorder.ProcessName(e.Process), e.Kind, e.Task, epochText(e.Epoch), recorder.ProcessName(e.Other), e.Detail)
	}
}

func epochText(epoch specifier.Epoch) string {
	if epoch == 0 {
		return ""
	}
	return fmt.Sprint(uint64(epoch))
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }

func signed(d time.Duration) string {
	if d < 0 {
		return round(d).String()
	}
	return "+" + round(d).String()
}

// Bounds returns the interval that holds the skew, for people.
func (c Clock) Bounds() string {
	least, most := "unknown", "unknown"
	if c.HasMinSkew {
		least = round(c.MinSkew).String()
	}
	if c.HasMaxSkew {
		most = round(c.MaxSkew).String()
	}
	return least + " to " + most
}

// Warnings says what makes the time line less certain.
func (t Timeline) Warnings() []string {
	var lines []string
	if !t.Consistent {
		lines = append(lines, "Clocks and causes contradict each other: a clock was set during the span, or events are missing.")
	}
	if t.ViolatedLinks > 0 {
		lines = append(lines, fmt.Sprintf("%d causes form a cycle and are not respected: events are missing.", t.ViolatedLinks))
	}
	return lines
}
