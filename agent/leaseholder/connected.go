package leaseholder

// Connected reports that a stream to a leading controller is open.
type Connected struct{}
