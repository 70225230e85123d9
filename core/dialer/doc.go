// Package dialer keeps one gRPC connection to each address that a process calls, and sets up gRPC
// servers with matching limits.
package dialer
