// Package admitter decides, before a job is queued, whether the job can finish by its deadline.
package admitter
