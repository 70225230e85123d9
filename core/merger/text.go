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

// timeFormat shows microseconds, because a placement or a network hop inside a zone takes less than 1 ms.
const timeFormat = "15:04:05.000000"

// trailingSpaces matches the padding of empty columns at the end of a line.
var trailingSpaces = regexp.MustCompile(`(?m) +$`)

// WriteText writes the time line for a terminal. When job is not zero, the summary of job comes first.
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
	table.Flush() // cannot fail: it writes to memory
	_, err := w.Write(trailingSpaces.ReplaceAll(text.Bytes(), nil))
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

// Bounds returns the text of the interval that contains the skew.
func (c Clock) Bounds() string {
	lower, upper := "unknown", "unknown"
	if c.HasMinSkew {
		lower = round(c.MinSkew).String()
	}
	if c.HasMaxSkew {
		upper = round(c.MaxSkew).String()
	}
	return lower + " to " + upper
}

// Warnings returns the reasons why the order or the times may be wrong.
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
