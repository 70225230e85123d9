package specifier

// EndMember records that an incarnation is Down: its lease expired, or it departed.
type EndMember struct {
	Identity Identity
}

func (EndMember) command() {}
