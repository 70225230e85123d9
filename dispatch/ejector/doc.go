// Package ejector detects workers that fail or slow down, and limits the work that they get. An Ejector records the outcomes
// of tasks, and the Limit of a Worker is the number of tasks that the worker may get.
package ejector
