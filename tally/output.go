package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// writeTable writes a header and rows in aligned columns.
func writeTable(w io.Writer, header []string, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	table.Flush()
}

// writeJSON writes value as indented JSON. Durations are in nanoseconds.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// orDash returns "-" for an empty cell, so that programs can split the columns.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
