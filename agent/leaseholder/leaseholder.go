package leaseholder

import (
	"slices"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

const (
	// renewEvery leaves room for several lost renewals within a grant.
	renewEvery = 100 * time.Millisecond
	// holdWait is how long a hold waits for an end. While a hold whose answer is lost is waited for, no end is seen, so it is short.
	holdWait = 60 * time.Millisecond
	// holdsAtOnce is how many holds in a row may go without an answer before the next one is put off by holdAgain.
	holdsAtOnce = 3
	// holdAgain is how long to wait after holds that had no answer.
	holdAgain = 100 * time.Millisecond
	// silentAgain takes its place once nothing has answered for silentAfter.
	silentAgain = 500 * time.Millisecond
	silentAfter = 3 * time.Second
	// noteWithin is how long the next hold waits for the controller to note the ends that the last one listed.
	noteWithin = 60 * time.Millisecond
	// looksOnly is how long after the last answer the agent goes on extending leases that it does not see.
	looksOnly = 600 * time.Millisecond
	// settleAfter is longer than a lease.
	settleAfter = 1200 * time.Millisecond
	// lapseMargin is added to the end of a lease before its runs count as gone.
	lapseMargin = 60 * time.Millisecond
	// startMost is more than a start takes that is answered at all.
	startMost = 200 * time.Millisecond
	// renewalsKept is how many renewals may be without a grant.
	renewalsKept = 64
)

// LeaseHolder is the control state of an agent. Exported fields are set before the first Step.
type LeaseHolder struct {
	Name        string
	Incarnation specifier.Incarnation
	GrantSpan   time.Duration // of the controllers
	MaxLease    time.Duration // longest lease that the worker gives
	StartedAt       time.Time     // when the process started, on the clock of Step

	now      time.Time
	actions  []Action
	linked   bool
	token    uint64 // highest fencing token of the controllers
	lives    uint64 // of the worker that this process saw
	heldWith uint64 // token of the last hold that was answered
	grantEnd time.Time
	renewal  uint64
	renewals map[uint64]time.Time
	renewAt  time.Time
	orders   uint64
	leaving  bool

	worker   *specifier.LeasedWorker
	sequence uint64
	clock    workerClock
	born     time.Time // of the life that answered last
	runs     map[specifier.RunKey]*heldRun
	ends     []specifier.RunEnd // not noted
	seen     uint64             // highest end listed
	noted    uint64             // highest end noted by the controller
	until    time.Duration      // end of the longest lease asked for, on the worker's clock
	answered time.Time          // last answer to a hold
	floor    time.Time          // before this, a start that reached a new life of the worker may hold a lease
	holding  bool
	unheld   int       // holds in a row without an answer
	holdAt   time.Time // zero while a hold is under way or can't be made
	pause    time.Time // until when the next hold waits for a note
	changed  bool      // of the worker, to be reported
}

// Step handles one event.
func (l *LeaseHolder) Step(now time.Time, event Event) []Action {
	l.begin(now)
	switch event := event.(type) {
	case Connected:
		l.link()
	case Disconnected:
		l.linked = false
	case OrderReceived:
		l.ordered(event.Order)
	case Announced:
		l.announced(event)
	case Departed:
		l.departed(event.ID)
	case Started:
		l.started(event)
	case Stopped:
		l.stopped(event)
	case PollResult:
		l.held(event)
	case Leave:
		l.leaving = true
		l.report(specifier.LeaseReport{})
	}
	return l.finish()
}

// Expire handles the deadlines that are due.
func (l *LeaseHolder) Expire(now time.Time) []Action {
	l.begin(now)
	if l.linked && !l.renewAt.After(now) {
		l.renew()
	}
	if end := l.lapse(); !end.IsZero() && !end.After(now) {
		l.lapsed()
	}
	for _, run := range l.sorted() {
		if !run.stopAgain.IsZero() && !run.stopAgain.After(now) {
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
	if l.linked {
		consider(l.renewAt)
	}
	if l.mayHold() && !l.holding {
		consider(l.holdAt)
	}
	consider(l.lapse())
	for _, run := range l.runs {
		consider(run.stopAgain)
	}
	return next
}

// Idle reports whether nothing runs at the worker and no end waits to be noted.
func (l *LeaseHolder) Idle() bool { return len(l.runs) == 0 && len(l.ends) == 0 }

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
		l.runs, l.renewals = make(map[specifier.RunKey]*heldRun), make(map[uint64]time.Time)
		l.holdAt = now
	}
}

func (l *LeaseHolder) finish() []Action {
	if l.mayHold() && !l.holding && !l.holdAt.After(l.now) {
		l.hold()
	}
	return l.actions
}

func (l *LeaseHolder) emit(action Action) { l.actions = append(l.actions, action) }

func (l *LeaseHolder) sorted() []*heldRun {
	list := make([]*heldRun, 0, len(l.runs))
	for _, run := range l.runs {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b *heldRun) int {
		if order := strings.Compare(a.Key.Task, b.Key.Task); order != 0 {
			return order
		}
		return int(int64(a.Key.Run) - int64(b.Key.Run))
	})
	return list
}
