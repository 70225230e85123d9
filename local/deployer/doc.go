// Package deployer runs every role of a site in one process on loopback, with stand-ins for the
// upstreams, and can kill and restart each of them.
package deployer
