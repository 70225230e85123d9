package merger

// row is one event in the table below the drawing.
type row struct {
	Time, After, Process, Kind, Task, Epoch, Peer, Detail string
}
