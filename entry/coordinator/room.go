package coordinator

// settled notes that an answered job is recorded, so that it may be forgotten.
func (c *Coordinator) settled(job *job) {
	if job.recorded {
		return
	}
	job.recorded = true
	c.settledJobs.Push(job.spec.ID)
	// Answers leave at their retention too: no more than twice as many are listed as are held.
	for c.settledJobs.Len() > 2*c.MaxJobs {
		c.forgetOldest()
	}
}

// makeRoom forgets the oldest recorded answers when the entry holds as many jobs as it may. A repeat
// then gets the outcome from the controllers and the results from the agents.
func (c *Coordinator) makeRoom() {
	for len(c.jobs) >= c.MaxJobs && c.settledJobs.Len() > 0 {
		c.forgetOldest()
	}
}

func (c *Coordinator) forgetOldest() {
	id, _ := c.settledJobs.Pop()
	if job := c.jobs[id]; job != nil && c.isSettled(job) {
		delete(c.jobs, id)
	}
}

// isSettled is false for a later run of a job whose earlier answer is still listed.
func (c *Coordinator) isSettled(job *job) bool { return job.phase == answered && job.recorded }
