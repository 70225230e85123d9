package specifier

// Announcing is whether leaders announce in the log the transient jobs that they may start.
type Announcing uint8

// The values of Announcing.
const (
	AnnouncingUnchanged Announcing = iota
	AnnouncingOn
	AnnouncingOff
)
