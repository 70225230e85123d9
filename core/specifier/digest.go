package specifier

// Digest identifies the content of a submission: team, profile and tasks. It does not include the
// time left, which is shorter when a caller resubmits.
type Digest [32]byte

// NewDigest returns the digest of job.
func NewDigest(job Job) Digest {
	h := newHasher()
	h.field([]byte(job.Team))
	h.field([]byte(job.Profile))
	for _, task := range job.Tasks {
		h.field([]byte(task.ID))
		h.field(task.Payload)
	}
	return h.sum()
}
