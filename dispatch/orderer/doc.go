// Package orderer decides the order in which entries and agents start tasks. Key is the position of a task in this order,
// Queue starts the tasks of an agent, and LoadReporter decides when the agent reports its load to an entry.
package orderer
