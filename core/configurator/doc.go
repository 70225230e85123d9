// Package configurator reads settings and profile files: strict YAML with PascalCase keys. It
// reports all problems of a file together, each with file, line and field. A file with any problem
// is rejected as a whole.
package configurator
