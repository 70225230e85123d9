// Package limiter divides slots among teams by their shares.
package limiter
