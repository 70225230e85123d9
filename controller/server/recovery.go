package server

import "oleandertally/state/replicator"

// recovery is what a data folder held at the start.
type recovery struct {
	disk    uint64 // identity of the data folder
	log     replicator.Recovered
	content []byte // of the newest snapshot; nil when there is none
}
