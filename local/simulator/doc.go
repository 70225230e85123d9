// Package simulator tests the job queues with random schedules of faults on a simulated clock. The dispatchers of successive
// leaders and the lease holders of the agents are the real ones; the fake workers carry out calls late, lose answers, crash and
// restart. The tasks that the workers run are checked against the guarantees of the queues.
package simulator
