// Package listener serves entries over gRPC and the upstream's announcements over HTTP.
package listener
