package placer

import "oleandertally/core/container"

// Place is a worker's place in an Index. Worker is set before use.
type Place[W any] struct {
	Worker W
	class  int
	score  float64
	member container.Member[*Place[W]]
}
