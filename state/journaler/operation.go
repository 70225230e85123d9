package journaler

// Operation is one change of the log: Append, Truncate, Persist, Reset or Compact.
type Operation interface{ operation() }
