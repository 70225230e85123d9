// Package transporter converts the messages of the replicator to protobuf messages and back, and defines the gRPC service
// that carries them between controllers.
package transporter

//go:generate sh generate.sh
