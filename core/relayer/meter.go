package relayer

// Meter counts what a relay does. It must be safe for concurrent use and must not block.
type Meter interface {
	Opened()
	Closed()
	Refused(reason Reason)
	Copied(bytes int)
}
