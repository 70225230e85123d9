// Package counter counts the gRPC messages between the processes of a site. A Counter is set as the stats handler of the
// connections that a process opens.
package counter
