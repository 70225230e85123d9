package exporter

// Cause says why an agent refused a task, with the values of the agent's own type.
type Cause string

var causes = []Cause{"Withdrawn", "Superseded", "Late", "NoUpstream", "NoLease", "Draining", "Full"}
