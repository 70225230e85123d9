// Package authenticator authenticates processes by mutual TLS, and teams and operators by tokens. It also
// decides which roles may call which gRPC methods. Settings with Insecure: true turn all of this off.
//
// A certificate names its process in exactly one URI subject alternative name of the form
// oleandertally://ROLE/NAME, such as oleandertally://Entry/entry-1. Addresses are not checked, so that a
// process that moves to a host with another address can keep its certificate.
package authenticator
