// Package relayer passes connections on to controllers, for processes that a partition cuts off from them but not from the
// relay's host. A client sends an HTTP/1.1 CONNECT request with the address of a controller; after the answer 200 the relay
// copies bytes in both directions. It stores nothing and does not read what it copies.
package relayer
