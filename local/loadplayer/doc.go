// Package loadplayer plays a seeded load of queued jobs against the dispatcher of a leading controller, on a simulated clock. It
// stands in for the callers, the agents and the workers, and reports what the callers got. It shows what a policy of
// refusing, ordering or placing does under a load and a set of faults, in seconds and without processes.
package loadplayer
