// Package reporter turns the reports of replays into tables.
package reporter
