package leaseholder

// Action is Report, Start, Stop, Poll, Identify or LogEvent.
type Action any
