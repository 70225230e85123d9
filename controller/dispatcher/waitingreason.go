package dispatcher

// WaitingReason is what a waiting task waits for.
type WaitingReason string

// The reasons. The names appear in metrics.
const (
	WaitsForRoom   WaitingReason = "Room"      // room at a worker, or a worker
	WaitsForWorker WaitingReason = "NoWorker"  // a worker that could hold it: none has the capacity or the label
	WaitsForZone   WaitingReason = "Evacuated" // the restore of a zone: only workers of evacuated zones can run it
)
