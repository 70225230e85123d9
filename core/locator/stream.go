package locator

// Stream is the client's side of a gRPC stream.
type Stream[In, Out any] interface {
	Send(Out) error
	Recv() (In, error)
}
