// Package retrier decides whether and when a task is sent again. A Retrier plans the time of each retry, within a Budget for
// each profile.
package retrier
