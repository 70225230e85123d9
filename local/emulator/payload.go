package emulator

// Payload is what the stand-in expects in a task.
type Payload struct {
	RunMillis int  // how long the task takes
	Fail      bool // the task fails at once
}
