// Package registrar is the replicated state: submissions, configuration and membership. Apply is
// deterministic: the same batches in the same order give the same state and decisions everywhere.
package registrar
