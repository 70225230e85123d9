package exporter

// Cause is why an agent refused a task. It has the same values as the agent's own Cause type.
type Cause string

var causes = []Cause{"Withdrawn", "Superseded", "Late", "NoUpstream", "NoLease", "Draining", "Full"}
