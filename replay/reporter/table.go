package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Print writes the rows of one trace as a table.
func Print(to io.Writer, title string, rows []Summary) error {
	if _, err := fmt.Fprintf(to, "\n%s\n", title); err != nil {
		return errors.Wrap(err, "write table")
	}
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "variant\tall p50\tall p99\tshort p50\tshort p99\tworst wide\tgoodput\tblocking\tlost\teject right\twrong\tmsg/task\trefused\tfailed\t")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%s\t%d\t%d\t%d\t%.2f\t%d\t%d\t\n", r.Variant, r.AllMedian, r.AllP99,
			r.ShortMedian, r.ShortP99, r.WorstWide, 100*r.Goodput, optional(r.Blocking), r.MaxLostTasks, r.CorrectEjections, r.WrongEjections, r.MessagesPerTask, r.Refused, r.Failed)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return printTeams(to, rows)
}

// printTeams writes the slot shares of the teams for each row with more than one team.
func printTeams(to io.Writer, rows []Summary) error {
	for _, r := range rows {
		if !strings.Contains(r.Teams, ",") {
			continue
		}
		if _, err := fmt.Fprintf(to, "slots used, %s: %s\n", r.Variant, r.Teams); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}

func optional(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value)
}
