// Package registrant keeps an entry or agent recorded as a member: it announces the member to the leading
// controller, renews its lease, and hands on the membership and the configuration.
package registrant
