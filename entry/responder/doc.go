// Package responder answers callers over HTTP and other entries over gRPC. It checks and decodes
// requests, gives them to the coordinator, and waits for its replies.
package responder
