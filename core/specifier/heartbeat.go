package specifier

// Heartbeat announces a member or renews its lease.
type Heartbeat struct {
	Member   *Member // in the first message, and when it changes
	Revision Revision
	Needs    []ServiceShare // from an entry: the slots that its teams could use
	Load     *Load          // from an agent; nil when it is not reported
}
