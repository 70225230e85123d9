package configurator

// blockCount is the number of lines and list items counted so far in one YAML block.
type blockCount struct{ lines, items int }
