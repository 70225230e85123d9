// Package classifier learns from what ran how long the tasks of a profile run.
package classifier
