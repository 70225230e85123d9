package counter

// Flow is a method and a direction.
type Flow struct {
	Method string // full gRPC name
	Sent   bool   // by the process that opened the stream
}
