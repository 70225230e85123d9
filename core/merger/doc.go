// Package merger merges the events of many processes, whose clocks differ, into one time
// line that is ordered by cause, and renders it for people.
//
// A message gives a bound: it cannot be received before it is sent. From these bounds and from
// the exchange that gathered each log, Merge estimates how far each clock is ahead. The
// estimate only chooses between orders that the causes allow.
package merger
