// Package encoder converts the types of specifier to protobuf messages and back. Decoding
// checks every field, because a message may come from a faulty peer.
package encoder

//go:generate sh generate.sh
