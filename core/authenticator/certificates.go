package authenticator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// reloadInterval is the shortest time between two reads of the files. A delay of 1 s does not matter,
// because a certificate is replaced well before it expires.
const reloadInterval = time.Second

// certificates holds the certificate and key of this process and the CA certificates, and reloads them from
// their files during handshakes. If the files cannot be used, the previous content stays in use: a
// replacement writes several files, and a handshake may happen between two of the writes.
type certificates struct {
	settings configurator.SecuritySettings
	self     Peer
	clock    func() time.Time
	report   func(error)

	current atomic.Pointer[material]
	mutex   sync.Mutex // locked while the files are read
	checked time.Time  // when the files were last read
}

// load reads the files for the first time.
func (c *certificates) load() error {
	c.checked = c.clock()
	loaded, err := c.read()
	if err == nil {
		c.current.Store(loaded)
	}
	return err
}

// latest returns the current content. If reloadInterval has passed since the last read, it first reads the
// files again. Only one handshake at a time does so; concurrent ones use the previous content.
func (c *certificates) latest() *material {
	if c.mutex.TryLock() {
		defer c.mutex.Unlock()
		if now := c.clock(); now.Sub(c.checked) >= reloadInterval {
			c.checked = now
			c.reload()
		}
	}
	return c.current.Load()
}

func (c *certificates) reload() {
	loaded, err := c.read()
	if err != nil {
		c.report(errors.Wrap(err, "certificates not reloaded"))
		return
	}
	c.current.Store(loaded)
}

// read returns the content of the files, or the current material if they have not changed.
func (c *certificates) read() (*material, error) {
	raw, err := readFiles(c.settings)
	if err != nil {
		return nil, err
	}
	if current := c.current.Load(); current != nil && current.matches(raw) {
		return current, nil
	}
	loaded, err := newMaterial(c.settings, raw)
	if err != nil {
		return nil, err
	}
	if loaded.self != c.self {
		return nil, errors.Wrapf(ErrWrongPeer, "%s names %s, expected %s", c.settings.Certificate, loaded.self, c.self)
	}
	return loaded, nil
}
