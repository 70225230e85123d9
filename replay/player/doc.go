// Package player drives the dispatch decisions with a trace on a held clock. Entries, agents and links
// are fakes; their delays and the run times come from the trace and from constants.
package player
