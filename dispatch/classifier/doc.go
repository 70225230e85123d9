// Package classifier estimates the run times of the tasks of a profile from those that ran before. The class of a profile
// decides whether its tasks count as long work, and its mean run time whether a job can finish by its deadline.
package classifier
