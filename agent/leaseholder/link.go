package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// link begins a session with a leading controller: it learns everything that the agent holds.
func (l *LeaseHolder) link() {
	l.linked, l.orders = true, 0
	clear(l.renewals)
	l.changed = true
	l.renew()
}

// renew asks for a grant and lists what runs.
func (l *LeaseHolder) renew() {
	l.renewal++
	l.renewals[l.renewal] = l.now
	delete(l.renewals, l.renewal-renewalsKept)
	l.renewAt = l.now.Add(renewEvery)
	report := specifier.LeaseReport{Renewal: l.renewal, Listed: true}
	for _, run := range l.sorted() {
		listed := run.LeasedRun
		listed.Starting = run.state != runRunning
		report.Runs = append(report.Runs, listed)
	}
	report.Ends = l.ends // a leader that is new may not have got them
	l.report(report)
}

// report sends what the controller needs in every report besides.
func (l *LeaseHolder) report(report specifier.LeaseReport) {
	if !l.linked {
		return
	}
	report.Agent, report.Incarnation, report.Orders, report.Leaving = l.Name, l.Incarnation, l.orders, l.leaving
	report.Settled, report.Token = l.settled(), l.token
	if l.changed || report.Listed {
		report.Worker = l.worker
		l.changed = false
	}
	l.emit(Report{Report: report})
}

// ordered carries out an order. Orders of a controller that led before are ignored.
func (l *LeaseHolder) ordered(order specifier.LeaseOrder) {
	if order.Token < l.token || !l.linked {
		return
	}
	l.fenced(order.Token)
	if sent, known := l.renewals[order.Granted]; known && order.Granted > 0 {
		l.grantEnd = later(l.grantEnd, sent.Add(l.GrantSpan))
		delete(l.renewals, order.Granted)
	}
	l.orders = order.Orders
	for _, key := range order.Stops {
		if run := l.runs[key]; run != nil {
			l.stop(run)
		}
	}
	for _, start := range order.Starts {
		l.start(start)
	}
	if l.worker != nil && order.Noted > l.noted && order.NotedBorn.Equal(l.worker.Born) {
		l.note(order.Noted)
	}
}

// note forgets ends that the controller has recorded, and lets the next hold go.
func (l *LeaseHolder) note(number uint64) {
	l.noted = number
	for len(l.ends) > 0 && l.ends[0].Number <= number {
		l.ends = l.ends[1:]
	}
	if len(l.ends) == 0 && !l.pause.IsZero() {
		l.pause, l.holdAt = time.Time{}, l.now
	}
}

// fenced takes over the token of a new leader, or a higher one for this process, and asks the worker at once what
// runs: once it has answered, it carries out no start with an earlier token.
func (l *LeaseHolder) fenced(token uint64) {
	if token == l.token {
		return
	}
	l.token = token
	l.look()
}

// lifeTokens is the factor of the controllers' tokens in those that the worker sees.
const lifeTokens = 64

// workerToken returns the token of calls to the worker. It rises with each life of the worker, so that the new one carries out no
// start that was meant for an earlier one.
func (l *LeaseHolder) workerToken() uint64 { return l.token*lifeTokens + min(l.lives, lifeTokens-1) }

// settled reports whether nothing can run that the agent does not list. Without an answer of the worker that
// is so once every lease that this process or an earlier one asked for has ended.
func (l *LeaseHolder) settled() bool {
	if l.token > 0 && l.heldWith == l.workerToken() {
		return true
	}
	return len(l.runs) == 0 && !l.now.Before(later(l.StartedAt, l.answered).Add(settleAfter))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
