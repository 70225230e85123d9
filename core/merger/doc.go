// Package merger merges the events of many processes, whose clocks differ, into one time line in causal order, and
// renders the time line as text and HTML.
//
// Each message bounds the skew between two clocks, because it cannot be received before it is sent. From these bounds,
// and from the exchange that fetched each log, Merge estimates how far each clock is ahead. The estimates only choose
// among the orders that causality allows.
package merger
