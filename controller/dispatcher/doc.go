// Package dispatcher decides for the leading controller which worker runs which task of which queued job, and when. It is
// pure: a step takes the time and an event and returns actions.
//
// Tasks run under leases. An agent may keep its worker's tasks running until the grant that it asked for last ends, and
// a grant is given only while this controller certainly leads. A task whose agent is unreachable therefore ends at most
// GrantSpan after the agent's last renewal, and is started again only after that. A new leader starts nothing until every
// agent that may run tasks has listed them, or until the grants of former leaders have ended.
package dispatcher
