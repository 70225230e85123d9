package configurator

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// decoder fills a settings value from a YAML tree. Unlike the strict decoding of the YAML library,
// it does not stop at the first problem, and it records the line of each field for later checks.
type decoder struct {
	file     string
	problems Problems
	lines    map[string]int  // by field path
	rejected map[string]bool // paths of the fields whose value could not be decoded
}

func newDecoder(file string) *decoder {
	return &decoder{file: file, lines: make(map[string]int), rejected: make(map[string]bool)}
}

// reject records a problem of field, and suppresses later checks of it.
func (d *decoder) reject(node ast.Node, field, format string, args ...any) {
	d.rejected[field] = true
	d.problems = append(d.problems, Problem{d.file, lineOf(node), field, fmt.Sprintf(format, args...)})
}

func (d *decoder) decode(node ast.Node, target reflect.Value, field string) {
	if _, ok := d.lines[field]; !ok {
		d.lines[field] = lineOf(node)
	}
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, target, field)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, target, field)
	case reflect.Slice:
		d.decodeSlice(node, target, field)
	case reflect.String:
		if text, ok := textOf(node); ok {
			target.SetString(text)
			return
		}
		d.reject(node, field, "expected text; put a number or a word with a meaning in YAML in quotes")
	default:
		d.decodeScalar(node, target, field)
	}
}

func (d *decoder) decodeStruct(node ast.Node, target reflect.Value, field string) {
	pairs, ok := pairsOf(node)
	if !ok {
		d.reject(node, field, "expected keys and values")
		return
	}
	if settings, ok := target.Addr().Interface().(interface{ setDefaults() }); ok {
		settings.setDefaults()
	}
	keys := make(map[string]reflect.Value)
	names := collectKeys(target, keys, nil)
	seen := make(map[string]int)
	for _, pair := range pairs {
		key := keyOf(pair)
		path := joinField(field, key)
		value, known := keys[key]
		switch {
		case !known:
			d.reject(pair.Key, path, "unknown key; expected one of %s", strings.Join(names, ", "))
		case seen[key] > 0:
			d.reject(pair.Key, path, "set twice, first in line %d", seen[key])
		default:
			seen[key] = lineOf(pair.Key)
			d.lines[path] = seen[key]
			d.decode(pair.Value, value, path)
		}
	}
}

func (d *decoder) decodeSlice(node ast.Node, target reflect.Value, field string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.reject(node, field, "expected a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		d.decode(value, target.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (d *decoder) decodeText(node ast.Node, target reflect.Value, field string) {
	text, ok := textOf(node)
	if !ok {
		text = node.GetToken().Value
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.reject(node, field, "%s", textError(target.Addr().Interface(), text, err))
	}
}

func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, field string) {
	if target.Type() == reflect.TypeFor[time.Duration]() {
		text, _ := textOf(node)
		length, err := time.ParseDuration(text)
		if err != nil {
			d.reject(node, field, `expected a duration with its unit, such as "3s" or "250ms", got %s`, quote(node.GetToken().Value))
			return
		}
		target.SetInt(int64(length))
		return
	}
	expected := "true or false"
	_, matches := node.(*ast.BoolNode)
	switch target.Kind() {
	case reflect.Int, reflect.Int64:
		expected = "a whole number"
		_, matches = node.(*ast.IntegerNode)
	case reflect.Float64:
		expected = "a number"
		_, isInteger := node.(*ast.IntegerNode)
		_, isFloat := node.(*ast.FloatNode)
		matches = isInteger || isFloat
	}
	if !matches || yaml.NodeToValue(node, target.Addr().Interface()) != nil {
		d.reject(node, field, "expected %s, got %s", expected, quote(node.GetToken().Value))
	}
}
