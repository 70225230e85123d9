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

// The YAML parser is recursive and partly quadratic. These limits keep hostile input from exhausting
// its stack or the CPU.
const (
	maxFileBytes  = 1 << 20 // a deployment of 940 workers takes about 300 KiB
	maxLineBytes  = 1 << 10 // also limits block nesting, which takes at least one byte of indentation for each level
	maxFlowDepth  = 16      // levels of nested brackets
	maxBlockLines = 200     // the parser's time grows with the square of the lines in a block
	maxListItems  = 5_000   // the parser's time grows with the square of the items in a list
)

// parseDocument returns the root node of data, which must hold exactly one YAML document.
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

// checkText enforces the limits that can be checked without the parser.
func checkText(file string, data []byte) *Problem {
	if len(data) > maxFileBytes {
		return &Problem{file, 1, "", fmt.Sprintf("the file is longer than %s", ByteSize(maxFileBytes))}
	}
	line := 0
	var blocks blockCounter
	for text := range strings.Lines(string(data)) {
		line++
		if len(text) > maxLineBytes {
			return &Problem{file, line, "", fmt.Sprintf("the line has %d bytes, expected at most %d", len(text), maxLineBytes)}
		}
		switch block := blocks.add(text); {
		case block.lines > maxBlockLines:
			return &Problem{file, line, "", fmt.Sprintf("the block has more than %d lines", maxBlockLines)}
		case block.items > maxListItems:
			return &Problem{file, line, "", fmt.Sprintf("the list has more than %d items", maxListItems)}
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
		if depth > maxFlowDepth {
			return &Problem{file, t.Position.Line, "", fmt.Sprintf("brackets are nested deeper than %d levels", maxFlowDepth)}
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
