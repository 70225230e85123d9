package specifier

// EndMember records that an incarnation is Down: its lease ended, or it left.
type EndMember struct {
	Identity Identity
}

func (EndMember) command() {}
