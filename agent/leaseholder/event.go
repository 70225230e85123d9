package leaseholder

// Event is Connected, Disconnected, OrderReceived, Announced, Identified, Departed, Started, Stopped, PollResult or Leave.
type Event any
