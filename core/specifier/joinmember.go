package specifier

// JoinMember records an entry or agent as Up. An earlier incarnation of the same name becomes Down.
// An incarnation that is already recorded as Down gets Fenced. Full means that MaxMembers, MaxDeparted
// or MaxRestarts is reached.
type JoinMember struct {
	Member Member
}

func (JoinMember) command() {}
