package sequencer

// Led reports that this controller leads and has applied every earlier entry.
type Led struct{}

func (Led) event() {}
