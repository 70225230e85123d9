package configurator

import "strings"

// blockCounter counts the lines and list items of each YAML block from the indentation alone,
// without parsing. A line ends every open block that is indented deeper.
type blockCounter struct {
	blocks []blockCount // the open blocks, indexed by indentation
}

// add counts one line and returns the count of its block. Blank lines and comments are not counted.
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
