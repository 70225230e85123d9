package counter

// Flow is one direction of the messages of a gRPC method.
type Flow struct {
	Method string // full name of the gRPC method
	Sent   bool   // by the process that opened the stream
}
