package counter

// Tally counts the messages of a flow.
type Tally struct {
	Messages int // gRPC messages
	Items    int // assignments, results, commands and decisions in the messages
	Bytes    int // message sizes on the wire, including the gRPC frames
}

// Add returns the sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{Messages: t.Messages + other.Messages, Items: t.Items + other.Items, Bytes: t.Bytes + other.Bytes}
}

// Sub returns the counts since an earlier tally.
func (t Tally) Sub(earlier Tally) Tally {
	return Tally{Messages: t.Messages - earlier.Messages, Items: t.Items - earlier.Items, Bytes: t.Bytes - earlier.Bytes}
}
