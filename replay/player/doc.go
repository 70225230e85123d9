// Package player plays a trace with the real dispatch policies on a simulated clock. Entries, agents and the network are
// fakes; the run times come from the trace, and the delays from constants.
package player
