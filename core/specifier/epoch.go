package specifier

// Epoch numbers the owners of one submission, from 1. An agent refuses an epoch lower than
// the highest it has seen for a job.
type Epoch uint64
