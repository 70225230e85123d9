package merger

// Link says that the event at index From caused the one at index To, at another process.
type Link struct {
	From int
	To   int
}
