// Package scheduler decides which task is sent to which agent, and when. The package does no I/O and reads no clock, so
// that the entry's coordinator and the replay use the same code.
package scheduler
