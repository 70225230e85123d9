// Package listener serves entries over gRPC and the upstream's announcements over HTTP. It delivers their messages to the
// executor as events, and encodes the executor's messages to entries.
package listener
