// Package configurator reads settings and profile files: strict YAML with Pascal-case keys.
// Every problem of a file is reported at once, with file, line and field, and a file with a
// problem has no effect.
package configurator
