// Package reporter summarizes the reports of replays and prints them as tables.
package reporter
