// Package admitter decides, before a job is queued, whether the job can finish by its deadline. A Policy decides on the
// Demand of the job; ByFinish is the default policy.
package admitter
