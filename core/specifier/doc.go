// Package specifier holds the types that describe work, members and configuration. Every
// process uses them; none of them knows how it is encoded.
package specifier
