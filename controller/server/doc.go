// Package server runs a controller: the control loop around package driver, the gRPC services, the streams to
// the other controllers, and the disk.
package server
