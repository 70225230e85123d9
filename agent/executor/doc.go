// Package executor decides which tasks an agent runs: it owns the upstream's slots, the queue in front of
// them, and a record of every task, which ensures that a task starts at most once. It is pure; listener and
// invoker carry its events and actions.
package executor
