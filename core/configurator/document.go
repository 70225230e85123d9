package configurator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// The YAML parser is recursive; these bounds keep hostile input from exhausting its stack.
const (
	maxFile  = 1 << 20 // bytes; 940 workers take about 300 KiB
	maxLine  = 1 << 10 // bytes; block nesting takes at least one byte of the line for each level
	maxDepth = 16      // levels of flow nesting
	maxKeys  = 200     // lines of one block; the parser's time grows with the square of them
	maxItems = 5_000   // items of one list; likewise
)

// parseDocument returns the root of the one document in data.
func parseDocument(file string, data []byte) (ast.Node, *Problem) {
	if problem := checkText(file, data); problem != nil {
		return nil, problem
	}
	tokens := lexer.Tokenize(string(data))
	if problem := checkDepth(file, tokens); problem != nil {
		return nil, problem
	}
	parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	var root ast.Node
	for _, document := range parsed.Docs {
		if document.Body == nil {
			continue
		}
		if root != nil {
			return nil, &Problem{file, lineOf(document.Body), "", "expected one YAML document, found another"}
		}
		root = document.Body
	}
	if root == nil {
		return nil, &Problem{file, 1, "", "the file is empty"}
	}
	return root, nil
}

func checkText(file string, data []byte) *Problem {
	if len(data) > maxFile {
		return &Problem{file, 1, "", fmt.Sprintf("the file is longer than %s", ByteSize(maxFile))}
	}
	line := 0
	var blocks blockCounter
	for text := range strings.Lines(string(data)) {
		line++
		if len(text) > maxLine {
			return &Problem{file, line, "", fmt.Sprintf("the line has %d bytes, expected at most %d", len(text), maxLine)}
		}
		switch block := blocks.add(text); {
		case block.lines > maxKeys:
			return &Problem{file, line, "", fmt.Sprintf("the block has more than %d lines", maxKeys)}
		case block.items > maxItems:
			return &Problem{file, line, "", fmt.Sprintf("the list has more than %d items", maxItems)}
		}
	}
	return nil
}

func checkDepth(file string, tokens token.Tokens) *Problem {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		}
		if depth > maxDepth {
			return &Problem{file, t.Position.Line, "", fmt.Sprintf("brackets are nested deeper than %d levels", maxDepth)}
		}
	}
	return nil
}

func syntaxProblem(file string, err error) *Problem {
	problem := &Problem{file, 1, "", "not valid YAML"}
	var located yaml.Error
	if !errors.As(err, &located) {
		return problem
	}
	problem.Text += ": " + located.GetMessage()
	if t := located.GetToken(); t != nil && t.Position != nil {
		problem.Line = max(t.Position.Line, 1)
	}
	return problem
}

func lineOf(node ast.Node) int {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return max(t.Position.Line, 1)
	}
	return 1
}
