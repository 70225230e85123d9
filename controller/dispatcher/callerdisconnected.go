package dispatcher

// CallerDisconnected tells that the stream of an entry ended.
type CallerDisconnected struct{ Stream Stream }
