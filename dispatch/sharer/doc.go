// Package sharer decides whose turn it is when more work waits for the workers of a pool than they can run. Work is grouped by
// kind, which is the queue that it came through. While demand exceeds capacity, each kind may use an equal part of the capacity,
// weighted by its priority, and what one kind leaves unused goes to the others. A kind with little demand is therefore served in
// full, and the kinds that ask for most are cut first; no kind starves.
package sharer
