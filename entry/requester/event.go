package requester

// event is an input of the requester's control goroutine.
type event any
