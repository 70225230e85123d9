// Package limiter divides slots among teams in proportion to their shares. A Lessor at the leading controller leases the
// slots to entries, and a Limiter at each entry applies the lease to the entry's tasks.
package limiter
