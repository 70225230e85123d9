package specifier

// ChangeConfiguration replaces or removes profiles and teams, made from revision From. A
// resend under the same RequestID gets the first decision again.
type ChangeConfiguration struct {
	RequestID      string
	Operator       string
	From           Revision
	Profiles       []Profile
	Teams          []Team
	RemoveProfiles []string
	RemoveTeams    []string
}

func (ChangeConfiguration) command() {}
