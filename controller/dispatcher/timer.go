package dispatcher

import "time"

// timer is a deadline of a job, an agent or a run, which decides on expiry what is due.
type timer struct {
	at    time.Time
	job   *job
	agent *agent
	run   *run
}

func earlier(a, b timer) bool { return a.at.Before(b.at) }
