package leaseholder

// Disconnected reports that the stream to the controller has ended.
type Disconnected struct{}
