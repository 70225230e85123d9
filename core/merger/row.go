package merger

// row is one event in the table of the page.
type row struct {
	Time, After, Process, Kind, Task, Epoch, Peer, Detail string
}
