// Package requester sends calls to the leading controller and returns the replies. A call in flight when the leader
// changes is resent to the new leader.
package requester
