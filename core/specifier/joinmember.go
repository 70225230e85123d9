package specifier

// JoinMember records an entry or agent as Up. An earlier incarnation of the same name becomes Down.
type JoinMember struct {
	Member Member
}

func (JoinMember) command() {}
