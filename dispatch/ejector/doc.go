// Package ejector finds workers that fail or slow down, and keeps work from them.
package ejector
