package sequencer

// Action is something that the controller does.
type Action interface{ action() }
