// Package specifier holds the types that describe work, members and configuration. Every
// process uses them. They do not depend on the encoding of messages.
package specifier
