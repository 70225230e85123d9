package specifier

// MemberState is what the controllers have recorded about a member.
type MemberState string

// The states of a member.
const (
	Up       MemberState = "Up"
	Draining MemberState = "Draining" // finishes what it has, takes nothing new
	Down     MemberState = "Down"     // its lease ended or a newer incarnation replaced it
)
