// Package encoder turns the types of specifier into protobuf messages and back. Decoding
// checks every field, because a message may come from a faulty peer.
package encoder

//go:generate sh generate.sh
