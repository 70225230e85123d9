package counter

// Tally is what went over one kind of stream in one direction.
type Tally struct {
	Messages int // gRPC messages
	Items    int // assignments, results, commands and decisions in them
	Bytes    int // payloads with their frames
}

// Add returns the sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{Messages: t.Messages + other.Messages, Items: t.Items + other.Items, Bytes: t.Bytes + other.Bytes}
}

// Sub returns what came after an earlier tally.
func (t Tally) Sub(earlier Tally) Tally {
	return Tally{Messages: t.Messages - earlier.Messages, Items: t.Items - earlier.Items, Bytes: t.Bytes - earlier.Bytes}
}
