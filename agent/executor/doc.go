// Package executor decides which tasks an agent runs. It has the upstream's slots, the queue in front of them, and a
// record of every task, which ensures that a task starts at most once. It is a state machine without I/O: the listener
// and invoker packages deliver its events and perform its actions.
package executor
