package supervisor

import "context"

// Step is one step of a graceful shutdown, such as waiting until an entry has answered its callers.
type Step struct {
	Name string
	// Run returns when the step is done, or early when ctx ends.
	Run func(ctx context.Context) error
}
