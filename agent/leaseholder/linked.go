package leaseholder

// Connected tells that there is a stream to a leading controller.
type Connected struct{}
