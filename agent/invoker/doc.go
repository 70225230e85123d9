// Package invoker calls the upstream over HTTP, once for each task.
package invoker
