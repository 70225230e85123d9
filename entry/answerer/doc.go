// Package answerer serves callers over HTTP and other entries over gRPC. It authorizes, validates and decodes
// requests, passes them to the coordinator, and waits for the replies.
package answerer
