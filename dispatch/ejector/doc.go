// Package ejector detects workers that fail or slow down, and limits the work that they get.
package ejector
