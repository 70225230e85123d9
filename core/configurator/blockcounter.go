package configurator

import "strings"

// blockCounter counts the lines and the list items of each block by indentation, without
// parsing: a line with less indentation ends the blocks inside it.
type blockCounter struct {
	blocks []blockCount // by indentation
}

// add counts a line and returns the size of its block so far.
func (b *blockCounter) add(text string) blockCount {
	content := strings.TrimLeft(text, " ")
	trimmed := strings.TrimSpace(content)
	if trimmed == "" || trimmed[0] == '#' {
		return blockCount{}
	}
	indent := len(text) - len(content)
	for len(b.blocks) <= indent {
		b.blocks = append(b.blocks, blockCount{})
	}
	b.blocks = b.blocks[:indent+1]
	if trimmed == "-" || strings.HasPrefix(trimmed, "- ") {
		b.blocks[indent].items++
	} else {
		b.blocks[indent].lines++
	}
	return b.blocks[indent]
}
