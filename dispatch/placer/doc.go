// Package placer finds the worker on which a task should run. Workers are grouped by their pace, the time that runs take there in
// relation to the estimates, and by their free capacity, so that the cost of a choice does not grow with the number of workers.
package placer
