package leaseholder

// Action is Report, Start, Stop, Poll or LogEvent.
type Action any
