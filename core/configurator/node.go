package configurator

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// pairsOf returns the key-value pairs of a mapping. Anchors, aliases, tags and merge keys are
// rejected everywhere, so that the value of a key is always written next to it.
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

// collectKeys adds the fields of target to keys by their YAML key, and returns the keys in the order
// of the fields. Keys of embedded structs are included.
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
	if len(key) > maxQuotedBytes {
		key = key[:maxQuotedBytes]
	}
	if field == "" {
		return key
	}
	return field + "." + key
}

// maxQuotedBytes limits how much of a wrong key or value a problem repeats.
const maxQuotedBytes = 64

func quote(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}

// textError returns the problem text for a value that UnmarshalText rejected.
func textError(target any, text string, err error) string {
	if _, ok := target.(*netip.AddrPort); ok {
		return fmt.Sprintf(`expected an IP address and a port, such as "10.0.0.1:7101", got %s`, quote(text))
	}
	return err.Error()
}
