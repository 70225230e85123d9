package specifier

import "time"

// Profile configures how jobs of one kind are run. The zero value of a field that has a default
// means that default.
type Profile struct {
	Name         string        `yaml:"Name"`
	Service      string        `yaml:"Service"`      // upstreams that announce this service run the work
	Repeatable   bool          `yaml:"Repeatable"`   // a task may run again once its first run is proved lost
	MaxTimeLeft  time.Duration `yaml:"MaxTimeLeft"`  // longest deadline accepted; default MaxTimeLeft
	TypicalTime  time.Duration `yaml:"TypicalTime"`  // expected run time of a task until it has been learned
	QueueBound   int           `yaml:"QueueBound"`   // tasks that may wait at one entry before jobs are refused; default 10,000
	RetryBudget  float64       `yaml:"RetryBudget"`  // retries for each first attempt; default 0.1
	Priority     int           `yaml:"Priority"`     // 0 to 9; each step counts as 100 ms earlier arrival
	LongShare    float64       `yaml:"LongShare"`    // share of a worker's slots that long tasks may occupy; default 0.5
	BreakerAfter int           `yaml:"BreakerAfter"` // consecutive failures that eject a worker; default 5
}

const (
	maxQueueBound   = 1 << 20
	maxRetryBudget  = 10
	maxPriority     = 9
	maxBreakerAfter = 1000
)

// Check returns every problem of the profile's fields, or nil.
func (p Profile) Check() *Problems {
	found := &Problems{}
	found.Name("Name", p.Name)
	found.Name("Service", p.Service)
	checkRange(found, "MaxTimeLeft", p.MaxTimeLeft, 0, MaxTimeLeft)
	checkRange(found, "TypicalTime", p.TypicalTime, 0, MaxTimeLeft)
	checkRange(found, "QueueBound", p.QueueBound, 0, maxQueueBound)
	checkRange(found, "RetryBudget", p.RetryBudget, 0, maxRetryBudget)
	checkRange(found, "Priority", p.Priority, 0, maxPriority)
	checkRange(found, "LongShare", p.LongShare, 0, 1)
	checkRange(found, "BreakerAfter", p.BreakerAfter, 0, maxBreakerAfter)
	return found.OrNil()
}
