package requester

// disconnected reports that the stream ended.
type disconnected struct{}
