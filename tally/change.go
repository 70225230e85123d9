package main

import "oleandertally/core/specifier"

// change is the decision on one change, as -json prints it.
type change struct {
	Request  string
	Member   string `json:",omitempty"`
	Zone     string `json:",omitempty"` // availability zone that the queues start nothing in, or start tasks in again
	From     specifier.Revision
	Verdict  specifier.Verdict
	Revision specifier.Revision // the revision in force
	Operator string             // on Conflict, the operator whose change came first
	Detail   string
}

func newChange(id, member string, from specifier.Revision, decision specifier.Decision) change {
	return change{Request: id, Member: member, From: from, Verdict: decision.Verdict, Revision: decision.Revision,
		Operator: decision.Operator, Detail: decision.Detail}
}
