// Package submitter sends the jobs of a recorded file to entries at their times, whether or not earlier
// answers have come, and keeps what was answered.
package submitter
