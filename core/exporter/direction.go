package exporter

// Direction says which way control bytes go.
type Direction string

// The directions.
const (
	Sent     Direction = "Sent"
	Received Direction = "Received"
)

var directions = []Direction{Sent, Received}
