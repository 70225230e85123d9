package registrar

import "oleandertally/core/specifier"

// digest is the first half of a specifier.Digest. It tells two contents under one key apart by
// accident only, for which 128 bits are plenty, and saves 48 MB at 3 million submissions.
type digest [16]byte

func shorten(whole specifier.Digest) digest { return digest(whole[:16]) }
