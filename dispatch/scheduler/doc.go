// Package scheduler decides which task goes to which agent, and when. It is pure: the entry's
// coordinator and the replay drive the same code.
package scheduler
