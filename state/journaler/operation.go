package journaler

// Operation is one change to the log: Append, Truncate, Persist, Reset or Compact.
type Operation interface{ operation() }
