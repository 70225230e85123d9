package specifier

// MemberState is what the controllers have recorded about a member.
type MemberState string

// The states of a member.
const (
	Up       MemberState = "Up"
	Draining MemberState = "Draining" // finishes its tasks and accepts no new ones
	Down     MemberState = "Down"     // its lease expired, it departed, or a newer incarnation replaced it
)
