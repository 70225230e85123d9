package dispatcher

type taskState uint8

const (
	taskBlocked taskState = iota // earlier steps are not done, or no caller waits for the job
	taskReady
	taskPlaced
	taskEnding // its end is being recorded
	taskDone
)
