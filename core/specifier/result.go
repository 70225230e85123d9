package specifier

// Result is what one task returned.
type Result struct {
	Task string // the task's ID
	Body []byte // as the upstream sent it, at most MaxResult bytes
}
