// Package dialer keeps one gRPC connection to each address that a process talks to.
package dialer
