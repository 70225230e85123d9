// Package operator contains the state that operators read, the server side of the Operator and Timeline services, and a
// client that finds the leader.
package operator
