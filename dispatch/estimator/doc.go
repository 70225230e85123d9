// Package estimator learns from the run times of tasks how fast each worker of a pool is and how far the declared estimates of each
// queue are off, separately. The load it answers is a pool of uneven workers whose queues declare run times that are wrong by a
// factor, with tasks so short that messages are a large part of their time.
package estimator
