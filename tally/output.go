package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// writeTable writes rows under a header in aligned columns.
func writeTable(w io.Writer, header []string, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	table.Flush()
}

// writeJSON writes value with indents. Durations are in nanoseconds.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// orDash shows an empty cell as "-", so that columns can be cut by programs as well.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
