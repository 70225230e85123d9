package emulator

// Payload is the payload of a task for an emulated upstream.
type Payload struct {
	RunMillis int  // run time of the task
	Fail      bool // the task fails immediately
}
