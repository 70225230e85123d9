package relayer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/looper"
	"oleandertally/core/supervisor"
)

const (
	bufferSize = 16 << 10 // bytes, for each direction
	// writeTimeout is how long an end may accept no byte.
	writeTimeout = 2 * time.Second
	// drainTimeout is how long the other direction may continue after one end has closed its own.
	drainTimeout = 300 * time.Millisecond
)

// tunnel copies bytes between a client and a target.
type tunnel struct {
	client, target *net.TCPConn
	clock          func() time.Time
	watch          *watch
	bucket         *bucket
	copied         func(bytes int)
	ended          atomic.Int32 // directions whose sender has closed
}

// run copies until one end closes its connection, a limit is exceeded or ctx ends, and returns why. early are bytes of the
// client that were read before.
func (t *tunnel) run(ctx context.Context, early []byte) error {
	group, ctx := supervisor.WithContext(ctx)
	stop := context.AfterFunc(ctx, t.close)
	defer stop()
	group.Go(func() error { return t.copy(ctx, t.target, t.client, early) })
	group.Go(func() error { return t.copy(ctx, t.client, t.target, nil) })
	group.Go(func() error { return t.beat(ctx) })
	err := group.Wait()
	t.close()
	return err
}

func (t *tunnel) close() {
	_ = t.client.Close()
	_ = t.target.Close()
}

func (t *tunnel) beat(ctx context.Context) error {
	for looper.Pause(ctx, beatInterval); ctx.Err() == nil; looper.Pause(ctx, beatInterval) {
		if err := t.watch.beat(t.clock()); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// copy forwards one direction. It reads and writes itself, since io.Copy would use splice, which keeps bytes in kernel pipes
// that neither the buffer size nor the watch bounds.
func (t *tunnel) copy(ctx context.Context, to, from *net.TCPConn, early []byte) error {
	if err := t.forward(ctx, to, early); err != nil {
		return err
	}
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if failed := t.forward(ctx, to, buffer[:n]); failed != nil {
			return failed
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			if t.ended.Add(1) == 1 {
				looper.Pause(ctx, drainTimeout)
			}
			return ErrEnded
		}
		if err != nil {
			return err
		}
	}
}

func (t *tunnel) forward(ctx context.Context, to *net.TCPConn, bytes []byte) error {
	if len(bytes) == 0 {
		return nil
	}
	if delay := t.bucket.take(t.clock(), len(bytes)); delay > 0 {
		looper.Pause(ctx, delay)
	}
	if err := t.watch.received(t.clock()); err != nil {
		return err
	}
	if err := to.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := to.Write(bytes)
	t.copied(n)
	return err
}
