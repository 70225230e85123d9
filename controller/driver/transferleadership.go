package driver

// TransferLeadership asks a leader to transfer its leadership to another voter, before a graceful shutdown.
type TransferLeadership struct {
	Ticket uint64
}
