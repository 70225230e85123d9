// Package transporter turns the messages of the replicator into protobuf messages and back, and
// carries them between controllers.
package transporter

//go:generate sh generate.sh
