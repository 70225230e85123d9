// Package executor decides what an agent runs: it owns the upstream's slots, the queue in front of
// them, and the start-once record of every task. It is pure; listener and invoker carry its
// events and actions.
package executor
