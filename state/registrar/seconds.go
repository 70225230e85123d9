package registrar

import "time"

// seconds is a time on the clock of the log, which starts at 0. It takes 4 bytes instead of the 24 of a time.Time.
type seconds uint32

// retentionMargin keeps submissions in the registrar longer than on the agents. On an agent, a retention
// period starts later, when a message arrives, and the clocks of hosts drift apart by a fraction of a
// second in an hour. Agents must drop a key before its epochs restart at 1.
const retentionMargin = 2 * time.Second

// expiryTime adds retentionMargin to at and rounds up, so that nothing expires early.
func expiryTime(at time.Time) seconds {
	return seconds(at.Add(retentionMargin + time.Second - 1).Unix())
}

// reached reports whether now is at or after s.
func (s seconds) reached(now time.Time) bool { return now.Unix() >= int64(s) }
