package player

import (
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
)

// Variant is a named set of policies.
type Variant struct {
	Name  string
	Order orderer.Policy
	// FIFO makes agents start tasks in the order in which they arrive at the agent.
	FIFO bool
	// Leases makes a lessor divide the slots among entries and teams.
	Leases bool
	// NewScheduler returns the scheduler of the entry self.
	NewScheduler func(seed uint64, self specifier.Member, teams map[string]specifier.Team) Scheduler
}
