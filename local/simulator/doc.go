// Package simulator holds random schedules of the queues on a held clock: the dispatchers of successive leading controllers, the lease
// holders of agents, and stand-ins of workers that carry out calls late, lose answers, crash and are reborn. What the
// workers see is checked against the promises.
package simulator
