package specifier

// Task is one unit of work that an upstream runs.
type Task struct {
	ID      string // unique within its job
	Payload []byte // opaque to the dispatcher, at most MaxPayload bytes
}
