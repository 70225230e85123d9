package specifier

// DrainMember sets whether a member is draining. It applies to every incarnation of Name,
// so that a restart does not undo an operator's drain.
type DrainMember struct {
	Name     string
	Draining bool
}

func (DrainMember) command() {}
