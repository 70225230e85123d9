package specifier

// Revision numbers the accepted changes of the configuration, from 1.
type Revision uint64
