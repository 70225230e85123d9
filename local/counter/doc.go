// Package counter counts the gRPC messages between the processes of a site.
package counter
