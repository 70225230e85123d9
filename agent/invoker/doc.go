// Package invoker calls the upstream over HTTP, once for each task. A call whose connection breaks is not repeated, since
// the task may have started.
package invoker
