package sequencer

// Event is something that happened to the controller.
type Event interface{ event() }
