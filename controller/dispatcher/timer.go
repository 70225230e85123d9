package dispatcher

import "time"

// timer is a deadline of a job, an agent or a run. A timer without any of these only causes a call of Expire, which ends with flush.
type timer struct {
	at        time.Time
	job       *job
	agent     *agent
	run       *run
	returning *agent // agent at which tasks may be started again
	review    *pool  // pool whose waiting tasks a placement looks at again
}

func earlier(a, b timer) bool { return a.at.Before(b.at) }
