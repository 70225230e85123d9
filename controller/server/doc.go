// Package server runs a controller: the control loop around package driver, the gRPC services, the streams to
// the other controllers, and the disk. A program fills in a Controller, for example with FromSettings, and calls Run.
package server
