package configurator

import (
	"io"
	"os"
	"path/filepath"
	"reflect"

	"github.com/cockroachdb/errors"
)

// settings is implemented by types that can be read from a file.
type settings interface {
	setDefaults()
	resolve(folder string) // joins relative file paths to folder
	check(c checker)
}

// Read returns the settings in the file at path, with defaults for missing keys. The error is of type
// Problems if the content is wrong. Relative paths in the file are relative to the folder of the file.
func Read[S any, P interface {
	*S
	settings
}](path string) (S, error) {
	data, err := readBounded(path)
	if err != nil {
		var zero S
		return zero, err
	}
	return Parse[S, P](path, data)
}

// Parse is like Read, for data as the content of the file at path.
func Parse[S any, P interface {
	*S
	settings
}](path string, data []byte) (S, error) {
	var value, zero S
	P(&value).setDefaults()
	d := newDecoder(path)
	root, problem := parseDocument(path, data)
	if problem != nil {
		return zero, Problems{*problem}
	}
	d.decode(root, reflect.ValueOf(&value).Elem(), "")
	P(&value).resolve(filepath.Dir(path))
	if !d.rejected[""] {
		P(&value).check(checker{decoder: d})
	}
	if err := d.problems.asError(); err != nil {
		return zero, err
	}
	return value, nil
}

// Check returns the problems of settings that were built in memory. Their line numbers are meaningless.
func Check[S any, P interface {
	*S
	settings
}](value S) error {
	d := newDecoder("settings")
	P(&value).check(checker{decoder: d})
	return d.problems.asError()
}

// Defaults returns settings with every default set, and zero values for the other keys.
func Defaults[S any, P interface {
	*S
	settings
}]() S {
	var value S
	P(&value).setDefaults()
	return value
}

// readBounded reads up to one byte more than maxFileBytes, so that Parse can detect and report a longer file.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	return data, errors.Wrap(err, "read settings")
}
