package merger

// Link is a causal link: the event at index From caused the event at index To, at another process.
type Link struct {
	From int
	To   int
}
