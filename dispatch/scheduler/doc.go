// Package scheduler decides which task is sent to which agent, and when. The user of an Engine reports members, loads and
// the ends of tasks, and sends the assignments that Dispatch returns. The package does no I/O and reads no clock, so that
// the entry's coordinator and the replay use the same code.
package scheduler
