package authenticator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// checkEvery bounds how often new handshakes read the files again. An expired certificate must be
// replaced anyway well before a second counts.
const checkEvery = time.Second

// certificates holds the certificate of this process and the authority, and reads them again
// when a handshake finds their files changed. Files that cannot be used leave the former content
// in force: a replacement writes several files, and a handshake may come between two of them.
type certificates struct {
	settings configurator.SecuritySettings
	self     Peer
	clock    func() time.Time
	report   func(error)

	current atomic.Pointer[material]
	mutex   sync.Mutex // held while the files are read
	checked time.Time
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

// latest returns the content in force. Only one handshake reads files; the others go on with
// what is in force.
func (c *certificates) latest() *material {
	if c.mutex.TryLock() {
		defer c.mutex.Unlock()
		if now := c.clock(); now.Sub(c.checked) >= checkEvery {
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

func (c *certificates) read() (*material, error) {
	raw, err := readFiles(c.settings)
	if err != nil {
		return nil, err
	}
	if current := c.current.Load(); current != nil && current.holds(raw) {
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
