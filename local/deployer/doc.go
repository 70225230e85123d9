// Package deployer runs every role of a site in one process on loopback, with emulated upstreams, and
// can kill, stop and restart its processes.
package deployer
