// Package submitter sends the jobs of a trace to entries at their arrival times, without waiting for earlier answers, and
// collects the answers.
package submitter
