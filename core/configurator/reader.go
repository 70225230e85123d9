package configurator

import (
	"io"
	"os"
	"path/filepath"
	"reflect"

	"github.com/cockroachdb/errors"
)

// settings is what a type that can be read from a file provides.
type settings interface {
	setDefaults()
	resolve(folder string) // makes relative paths of files relative to folder
	check(c checker)
}

// Read returns the settings in the file at path, with defaults for the keys that it leaves out.
// The error is Problems when the content is wrong. A relative path in the file is relative to
// the folder of the file.
func Read[S any, P interface {
	*S
	settings
}](path string) (S, error) {
	data, err := readBounded(path)
	if err != nil {
		var none S
		return none, err
	}
	return Parse[S, P](path, data)
}

// Parse is Read for the content of the file called path.
func Parse[S any, P interface {
	*S
	settings
}](path string, data []byte) (S, error) {
	var value, none S
	P(&value).setDefaults()
	d := newDecoder(path)
	root, problem := parseDocument(path, data)
	if problem != nil {
		return none, Problems{*problem}
	}
	d.decode(root, reflect.ValueOf(&value).Elem(), "")
	P(&value).resolve(filepath.Dir(path))
	if !d.broken[""] {
		P(&value).check(checker{decoder: d})
	}
	if err := d.problems.orNil(); err != nil {
		return none, err
	}
	return value, nil
}

// Check reports what is wrong with settings that were built in memory; the lines mean nothing.
func Check[S any, P interface {
	*S
	settings
}](value S) error {
	d := newDecoder("settings")
	P(&value).check(checker{decoder: d})
	return d.problems.orNil()
}

// Defaults returns settings in which every key that has a default is set to it.
func Defaults[S any, P interface {
	*S
	settings
}]() S {
	var value S
	P(&value).setDefaults()
	return value
}

// readBounded reads one byte more than the bound, so that Parse can report a longer file.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	return data, errors.Wrap(err, "read settings")
}
