// Package classifier estimates the run times of the tasks of a profile from those that ran before.
package classifier
