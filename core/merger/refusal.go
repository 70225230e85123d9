package merger

// Refusal counts the tasks that agents refused for one cause.
type Refusal struct {
	Cause string
	Tasks int
}
