// Package retrier decides whether and when a task is sent again.
package retrier
