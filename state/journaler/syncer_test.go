package journaler

import (
	"context"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/looper"
)

// runSyncer commits the requests. It returns the reported Write numbers and the error of Run.
func runSyncer(t *testing.T, folder *fakeFolder, requests ...Request) ([]uint64, error) {
	journal, _ := openJournal(t, folder, 0)
	folder.syncs = 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var reported []uint64
	last := requests[len(requests)-1].Write
	syncer := &Syncer{Journal: journal, Queue: looper.NewOutbox[Request](), Report: func(write uint64) {
		reported = append(reported, write)
		if write == last {
			cancel()
		}
	}}
	for _, request := range requests {
		syncer.Queue.Put(request)
	}
	var group errgroup.Group
	group.Go(func() error { return syncer.Run(ctx) })
	err := group.Wait()
	return reported, err
}

// Guards against a separate sync for each request, which would limit the acceptance rate to that of the disk.
func TestSyncerSharesOneSync(t *testing.T) {
	folder := newFakeFolder()
	reported, err := runSyncer(t, folder, Request{1, records(1, 2, 1)}, Request{0, Compact{1}}, Request{2, Persist{HardState{Term: 2}}},
		Request{3, records(3, 3, 2)})
	must.ErrorIs(t, err, context.Canceled)
	must.Eq(t, []uint64{3}, reported)
	must.Eq(t, 1, folder.syncs)
	mustRecover(t, folder.crash(0), 0, Content{Base: 1, State: HardState{Term: 2},
		Records: append(records(2, 2, 1).Records, records(3, 3, 2).Records...)})
}

// Guards against reporting requests as durable after their sync failed.
func TestSyncerStopsOnFailure(t *testing.T) {
	folder := newFakeFolder()
	journal, _ := openJournal(t, folder, 0)
	folder.syncErr = syscall.EIO
	syncer := &Syncer{Journal: journal, Queue: looper.NewOutbox[Request](),
		Report: func(uint64) { t.Error("reported after a failed sync") }}
	syncer.Queue.Put(Request{1, records(1, 1, 1)})
	err := syncer.Run(t.Context())
	must.ErrorIs(t, err, ErrFailed)
	must.ErrorIs(t, err, syscall.EIO)
}
