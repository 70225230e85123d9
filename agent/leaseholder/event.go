package leaseholder

// Event is Connected, Disconnected, OrderReceived, Announced, Departed, Started, Stopped, PollResult or Leave.
type Event any
