package specifier

import (
	"slices"
	"strings"
)

// MaxManifest bounds the document of a manifest, in bytes.
const MaxManifest = 4 << 20

// Manifest defines all queues. The manifest with the highest version is in force.
type Manifest struct {
	Version           uint64
	Queues            []Queue
	NonEnforcingPools []string // pools whose workers start a task without checking their capacity
	Document          []byte   // as the operator sent it
}

// QueueForPath returns the queue at host whose prefix is the longest one that path begins with, and the rest of the path.
func (m *Manifest) QueueForPath(host, path string) (Queue, string, bool) {
	best, found := Queue{}, false
	for _, queue := range m.Queues {
		if queue.Host == host && strings.HasPrefix(path, queue.Prefix) && (!found || len(queue.Prefix) > len(best.Prefix)) {
			best, found = queue, true
		}
	}
	return best, path[len(best.Prefix):], found
}

// QueueByName returns the queue of that name.
func (m *Manifest) QueueByName(name string) (Queue, bool) {
	at := slices.IndexFunc(m.Queues, func(queue Queue) bool { return queue.Name == name })
	if at < 0 {
		return Queue{}, false
	}
	return m.Queues[at], true
}
