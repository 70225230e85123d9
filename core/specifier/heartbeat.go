package specifier

// Heartbeat announces a member or renews its lease.
type Heartbeat struct {
	Member   *Member // in the first message, and when it changes
	Revision Revision
	Needs    []ServiceShare // of an entry: the slots that its teams could use
	Load     *Load          // of an agent; nil when it is not reported
}
