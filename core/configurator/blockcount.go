package configurator

// blockCount is the size of one block so far.
type blockCount struct{ lines, items int }
