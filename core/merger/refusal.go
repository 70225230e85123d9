package merger

// Refusal is the number of tasks that agents refused for one cause.
type Refusal struct {
	Cause string
	Tasks int
}
