package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// connect begins a session with a leading controller, which gets a complete list of the agent's runs and ends.
func (l *LeaseHolder) connect() {
	l.connected, l.orders = true, 0
	clear(l.renewals)
	l.workerChanged = true
	l.renew()
}

// renew asks for a grant and lists the runs and ends.
func (l *LeaseHolder) renew() {
	l.listedUnreported = false
	l.renewal++
	l.renewals[l.renewal] = l.now
	delete(l.renewals, l.renewal-maxPendingRenewals)
	l.renewAt = l.now.Add(max(l.renewAfter, renewInterval))
	report := specifier.LeaseReport{Renewal: l.renewal, RunsComplete: true}
	for _, run := range l.sorted() {
		listed := run.LeasedRun
		listed.Starting, listed.Stopping = run.state != runRunning, run.stopping
		report.Runs = append(report.Runs, listed)
	}
	report.Ends = l.ends // a new leader may not have received them
	l.report(report)
}

// report adds the fields that the controller needs in every report, and sends the report.
func (l *LeaseHolder) report(report specifier.LeaseReport) {
	if !l.connected {
		return
	}
	report.Agent, report.Incarnation, report.LastOrder, report.Leaving = l.Name, l.Incarnation, l.orders, l.leaving
	report.AllRunsKnown, report.Token, report.WorkerStartedAt = l.allRunsKnown(), l.token, l.startedAt
	report.EndsCut, report.Zone = l.endsCut && !l.endsListed, l.Zone
	report.EvacuationVersion = l.confirmedVersion
	if l.workerChanged || report.RunsComplete {
		report.Worker = l.describeWorker()
		l.workerChanged = false
	}
	l.emit(Report{Report: report})
}

// describeWorker returns the worker as reports describe it, or nil.
func (l *LeaseHolder) describeWorker() *specifier.LeasedWorker {
	if l.worker == nil {
		return nil
	}
	worker := *l.worker
	worker.ColdFor = max(l.coldUntil.Sub(l.now), 0)
	return &worker
}

// orderReceived carries out an order. Orders of an earlier leader are ignored.
func (l *LeaseHolder) orderReceived(order specifier.LeaseOrder) {
	if order.Token < l.token || !l.connected {
		return
	}
	l.adoptToken(order.Token)
	if sent, known := l.renewals[order.GrantedRenewal]; known && order.GrantedRenewal > 0 {
		l.grantEnd = later(l.grantEnd, sent.Add(l.GrantSpan))
		delete(l.renewals, order.GrantedRenewal)
	}
	if order.RenewAfter > 0 {
		l.renewAfter = min(order.RenewAfter, maxRenewInterval)
	}
	l.orders = order.OrderCount
	l.applyEvacuation(order)
	for _, key := range order.Stops {
		if run := l.runs[key]; run != nil {
			l.stop(run)
		}
	}
	for _, start := range order.Starts {
		l.start(start)
	}
	if order.AcknowledgedEnd > l.acknowledged && order.AcknowledgedWorkerStart.Equal(l.startedAt) {
		l.acknowledge(order.AcknowledgedEnd)
	}
}

// acknowledge deletes the ends that the controller has recorded. When all ends are recorded, the next
// poll is sent without further delay.
func (l *LeaseHolder) acknowledge(number uint64) {
	l.acknowledged = number
	for len(l.ends) > 0 && l.ends[0].Number <= number {
		l.ends = l.ends[1:]
	}
	if len(l.ends) == 0 && !l.pausedUntil.IsZero() {
		l.pausedUntil, l.pollAt = time.Time{}, l.now
	}
}

// adoptToken adopts the token of a new leader, or a higher one for this process, and polls the worker immediately.
// After its answer, the worker carries out no start with an earlier token. It is also asked to confirm what was
// announced before the first token.
func (l *LeaseHolder) adoptToken(token uint64) {
	if token == l.token {
		return
	}
	l.token = token
	l.pollNow()
	l.identify()
}

// tokenFactor is the factor of the controller's token in the token that the worker receives.
const tokenFactor = 64

// workerToken returns the token for calls to the worker. It rises with each incarnation of the worker, so that a restarted
// worker carries out no start that was meant for an earlier incarnation.
func (l *LeaseHolder) workerToken() uint64 {
	return l.token*tokenFactor + min(l.incarnations, tokenFactor-1)
}

// runsListed reports whether the worker has listed every run and end that this process did not know, and carries out no start with
// an earlier token any more. A cut list of ends does not suffice: a run that is in neither list may be among the ends that follow.
func (l *LeaseHolder) runsListed() bool {
	return l.token > 0 && l.polledToken == l.workerToken() && l.endsListed
}

// allRunsKnown reports whether every run that may exist at the worker is in the agent's list. Without an answer of the worker,
// this is certain once every lease that this process or an earlier one requested has ended.
func (l *LeaseHolder) allRunsKnown() bool {
	if l.runsListed() {
		return true
	}
	ofOthers := later(l.StartedAt, l.answeredAt).Add(settleDelay)
	own := l.clock.reachedBy(l.leaseEnd).Add(lapseMargin) // a poll whose answer was lost may have extended the lease
	return len(l.runs) == 0 && !l.now.Before(later(ofOthers, own))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
