// Package container holds generic containers: a heap, a queue, a ring buffer and an interner.
package container
