package dispatcher

// CallerDisconnected reports that the stream of an entry ended.
type CallerDisconnected struct{ Stream Stream }
