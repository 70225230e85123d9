package configurator

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// pairsOf returns the entries of a mapping. Anchors, aliases, tags and merge keys are not
// accepted anywhere, so that each value is the one written on its own line.
func pairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch node := node.(type) {
	case *ast.MappingNode:
		return node.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{node}, true
	}
	return nil, false
}

func keyOf(pair *ast.MappingValueNode) string {
	if text, ok := pair.Key.(*ast.StringNode); ok {
		return text.Value
	}
	return pair.Key.String()
}

func textOf(node ast.Node) (string, bool) {
	switch node := node.(type) {
	case *ast.StringNode:
		return node.Value, true
	case *ast.LiteralNode:
		return node.Value.Value, true
	}
	return "", false
}

// collectKeys fills keys with the fields of target by their key, and returns the keys in order.
func collectKeys(target reflect.Value, keys map[string]reflect.Value, names []string) []string {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			names = collectKeys(target.Field(i), keys, names)
			continue
		}
		key := field.Tag.Get("yaml")
		if key == "" {
			continue
		}
		keys[key] = target.Field(i)
		names = append(names, key)
	}
	return names
}

func joinField(field, key string) string {
	if len(key) > maxQuote {
		key = key[:maxQuote]
	}
	if field == "" {
		return key
	}
	return field + "." + key
}

// maxQuote bounds how much of a wrong value a problem repeats.
const maxQuote = 64

func quote(text string) string {
	if len(text) > maxQuote {
		return strconv.Quote(text[:maxQuote]) + "..."
	}
	return strconv.Quote(text)
}

func describe(target any, text string, err error) string {
	if _, ok := target.(*netip.AddrPort); ok {
		return fmt.Sprintf(`expected an IP address and a port, such as "10.0.0.1:7101", got %s`, quote(text))
	}
	return err.Error()
}
