package leaseholder

// Identify asks the worker which incarnation it is. It extends no lease and acknowledges no end.
type Identify struct {
	WorkerID string // ID of an announced worker
	Token    uint64
}
