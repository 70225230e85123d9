// Package admitter decides early whether a job can finish by its deadline.
package admitter
