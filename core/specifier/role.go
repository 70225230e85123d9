package specifier

// Role is the kind of a process.
type Role string

// The roles.
const (
	Entry      Role = "Entry"
	Agent      Role = "Agent"
	Controller Role = "Controller"
)
