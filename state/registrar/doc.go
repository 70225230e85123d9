// Package registrar implements the replicated state machine for submissions, configuration and
// membership. Apply is deterministic: the same batches in the same order give the same state and
// decisions on every replica.
package registrar
