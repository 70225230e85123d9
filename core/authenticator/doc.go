// Package authenticator decides who may connect and who is asking: mutual TLS between processes,
// tokens for teams and operators. Settings with Insecure: true turn all of it off.
//
// A certificate names its process in one URI subject alternative name of the form
// oleandertally://ROLE/NAME, such as oleandertally://Entry/entry-1. Addresses are not checked, so
// that a replaced host needs no new certificate for its new address.
package authenticator
