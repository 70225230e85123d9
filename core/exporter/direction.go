package exporter

// Direction is the direction of control bytes, as seen from this process.
type Direction string

// The directions.
const (
	Sent     Direction = "Sent"
	Received Direction = "Received"
)

var directions = []Direction{Sent, Received}
