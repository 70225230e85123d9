package leaseholder

import (
	"slices"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

const (
	// renewInterval allows for several lost renewals within a grant. A controller with many agents asks for a longer interval.
	renewInterval = 100 * time.Millisecond
	// maxRenewInterval is the longest interval that a controller may ask for.
	maxRenewInterval = 300 * time.Millisecond
	// pollWait is how long a poll waits for an end. It is short because, when the answer to a poll is lost, the agent receives no
	// ends until the wait is over.
	pollWait = 60 * time.Millisecond
	// maxFailedPolls is the number of consecutive failed polls after which the next poll is delayed by retryInterval.
	maxFailedPolls = 3
	// retryInterval is the delay of a poll after maxFailedPolls failed polls, and of a repeated stop.
	retryInterval = 100 * time.Millisecond
	// unreachableRetryInterval replaces retryInterval for polls once the worker has not answered for unreachableTimeout.
	unreachableRetryInterval = 500 * time.Millisecond
	unreachableTimeout       = 3 * time.Second
	// acknowledgeTimeout is how long the next poll waits for the controller to acknowledge the ends that the last one listed.
	acknowledgeTimeout = 60 * time.Millisecond
	// workerTimeout is how long after the worker's last answer the agent still extends leases and sends starts.
	workerTimeout = 600 * time.Millisecond
	// settleDelay is longer than a lease, so that every lease has ended after it.
	settleDelay = 1200 * time.Millisecond
	// lapseMargin is added to the end of a lease before its runs count as ended.
	lapseMargin = 60 * time.Millisecond
	// maxStartTime is longer than any answered start takes.
	maxStartTime = 200 * time.Millisecond
	// maxEndGap bounds the difference between the numbers of two ends. Ends after one with a far too large number would count as known.
	maxEndGap = 1 << 20
	// maxPendingRenewals is the number of renewals without a grant that are kept.
	maxPendingRenewals = 64
	// maxUnconfirmed is the number of announcements that are kept until the worker confirms or refutes them. The worker repeats its own.
	maxUnconfirmed = 8
	// confirmationTimeout is how long an announcement is kept. It spans several of the worker's announcements.
	confirmationTimeout = 10 * time.Second
	// sequenceTimeout is how long an announcement with a lower sequence number than the last one counts as late. The worker sends several
	// in this time, so one of them would have been applied if the last number were the worker's.
	sequenceTimeout = 10 * time.Second
)

// LeaseHolder is the control state of an agent. Exported fields are set before the first Step.
type LeaseHolder struct {
	Name        string
	Incarnation specifier.Incarnation
	GrantSpan   time.Duration // duration of a controller's grant
	MaxLease    time.Duration // longest lease that the worker gives
	StartedAt   time.Time     // when this agent process started, on the clock of Step
	Zone        string        // availability zone of the agent's host

	now          time.Time
	actions      []Action
	connected    bool
	token        uint64 // highest fencing token received from a controller
	incarnations uint64 // incarnations of the worker that this process has seen
	polledToken  uint64 // highest token of a poll whose list was applied
	grantEnd     time.Time
	renewal      uint64               // number of the last renewal
	renewals     map[uint64]time.Time // send times of the renewals that have no grant yet
	renewAt      time.Time
	renewAfter   time.Duration // interval of the renewals that the controller asked for; 0 for none
	orders       uint64        // number of the last order
	leaving      bool

	evacuated         bool   // no task may be started in the zone
	evacuationVersion uint64 // newest version that was applied
	confirmedVersion  uint64 // newest version that was applied while no start was under way

	worker           *specifier.LeasedWorker // of the confirmed incarnation
	unconfirmed      []announcement          // of incarnations that the worker has neither confirmed nor refuted
	listedUnreported bool                    // all runs are known, and the report of this waits for the worker's identity
	identifying      bool                    // the worker is being asked for the first of them
	sequence         uint64                  // sequence number of the worker's last announcement
	sequenceUntil    time.Time               // until then, an announcement with a lower number is late
	coldUntil        time.Time               // when the worker reaches its full speed, by its last announcement
	clock            workerClock
	startedAt        time.Time // start of the newest known incarnation of the worker
	startSeenAt      time.Time // when the first answer with this start arrived
	runs             map[specifier.RunKey]*trackedRun
	ends             []specifier.RunEnd // not yet acknowledged by the controller
	lastListed       uint64             // highest end that the worker listed
	listedAt         time.Time          // when the newest list of runs was applied
	listedClock      time.Duration      // reading of the worker's clock in that list
	endsCut          bool               // the last list of ends was cut
	endsListed       bool               // a list of ends was not cut, so that this process has seen the ends before it too
	acknowledged     uint64             // highest end that the controller has recorded
	leaseEnd         time.Duration      // end of the longest lease that was requested, on the worker's clock
	answeredAt       time.Time          // time of the last answer to a poll
	restartLeaseEnd  time.Time          // until then, a start that reached the restarted worker may have a lease
	polling          bool               // a periodic poll is under way
	immediatePolls   int                // immediate polls that are under way
	pollAgain        bool               // another immediate poll is due once these have ended
	failedPolls      int                // consecutive polls that failed
	pollAt           time.Time          // when the next poll is due
	pausedUntil      time.Time          // until then, the next poll waits for the controller to acknowledge the ends
	workerChanged    bool               // the worker has changed since the last report
}

// Step handles one event.
func (l *LeaseHolder) Step(now time.Time, event Event) []Action {
	l.begin(now)
	switch event := event.(type) {
	case Connected:
		l.connect()
	case Disconnected:
		l.connected = false
	case OrderReceived:
		l.orderReceived(event.Order)
	case Announced:
		l.announced(event)
	case Identified:
		l.identified(event.Answer)
	case Departed:
		l.departed(event.ID)
	case Started:
		l.started(event)
	case Stopped:
		l.stopped(event)
	case PollResult:
		l.pollAnswered(event)
	case Leave:
		l.leaving = true
		l.report(specifier.LeaseReport{})
	}
	return l.finish()
}

// Expire handles the deadlines that are due.
func (l *LeaseHolder) Expire(now time.Time) []Action {
	l.begin(now)
	if l.connected && !l.renewAt.After(now) {
		l.renew()
	}
	if end := l.leasesEndAt(); !end.IsZero() && !end.After(now) {
		l.leasesEnded()
	}
	for _, run := range l.sorted() {
		if !run.stopRetryAt.IsZero() && !run.stopRetryAt.After(now) {
			l.stop(run)
		}
	}
	return l.finish()
}

// Next returns the earliest deadline.
func (l *LeaseHolder) Next() time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if l.connected {
		consider(l.renewAt)
	}
	if l.mayPoll() && !l.polling {
		consider(l.pollAt)
	}
	consider(l.leasesEndAt())
	for _, run := range l.runs {
		consider(run.stopRetryAt)
	}
	return next
}

// Idle reports whether nothing runs at the worker and the controller has acknowledged every end, also those that the worker has not
// listed yet.
func (l *LeaseHolder) Idle() bool { return len(l.runs) == 0 && len(l.ends) == 0 && !l.endsCut }

// WorkerID returns the ID of the worker, or "".
func (l *LeaseHolder) WorkerID() string {
	if l.worker == nil {
		return ""
	}
	return l.worker.ID
}

func (l *LeaseHolder) begin(now time.Time) {
	l.now, l.actions = now, nil
	if l.runs == nil {
		l.runs, l.renewals = make(map[specifier.RunKey]*trackedRun), make(map[uint64]time.Time)
		l.pollAt = now
	}
}

func (l *LeaseHolder) finish() []Action {
	l.confirmEvacuation()
	if l.mayPoll() && !l.polling && !l.pollAt.After(l.now) {
		l.poll()
	}
	return l.actions
}

func (l *LeaseHolder) emit(action Action) { l.actions = append(l.actions, action) }

func (l *LeaseHolder) sorted() []*trackedRun {
	list := make([]*trackedRun, 0, len(l.runs))
	for _, run := range l.runs {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b *trackedRun) int {
		if order := strings.Compare(a.Key.Task, b.Key.Task); order != 0 {
			return order
		}
		return int(int64(a.Key.Run) - int64(b.Key.Run))
	})
	return list
}
