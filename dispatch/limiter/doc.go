// Package limiter divides slots among teams in proportion to their shares.
package limiter
