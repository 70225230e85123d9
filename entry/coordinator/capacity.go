package coordinator

// markRecorded marks an answered job as recorded, so that it may be evicted.
func (c *Coordinator) markRecorded(job *job) {
	if job.recorded {
		return
	}
	job.recorded = true
	c.recordedJobs.Push(job.spec.ID)
	// The list may contain jobs whose retention has passed, so its length is limited to twice MaxJobs.
	for c.recordedJobs.Len() > 2*c.MaxJobs {
		c.evictOldest()
	}
}

// freeCapacity evicts the oldest recorded answers while the entry holds MaxJobs jobs. A job that is resubmitted later
// gets its outcome from the controllers and its results from the agents.
func (c *Coordinator) freeCapacity() {
	for len(c.jobs) >= c.MaxJobs && c.recordedJobs.Len() > 0 {
		c.evictOldest()
	}
}

func (c *Coordinator) evictOldest() {
	id, _ := c.recordedJobs.Pop()
	if job := c.jobs[id]; job != nil && c.isEvictable(job) {
		delete(c.jobs, id)
	}
}

// isEvictable reports whether the job is answered and recorded. It is false for a later run of a job whose earlier answer
// is still listed.
func (c *Coordinator) isEvictable(job *job) bool { return job.phase == answered && job.recorded }
