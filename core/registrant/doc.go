// Package registrant keeps an entry or agent registered as a member: it announces the member to the leading
// controller, renews its lease, and forwards the membership and the configuration to the process.
package registrant
