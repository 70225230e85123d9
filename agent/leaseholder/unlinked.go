package leaseholder

// Disconnected tells that the stream ended.
type Disconnected struct{}
