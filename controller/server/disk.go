package server

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/driver"
	"oleandertally/core/looper"
	"oleandertally/state/journaler"
	"oleandertally/state/replicator"
	"oleandertally/state/snapshotter"
	"oleandertally/state/transporter"
)

// disk is the data folder of a controller. Its run goroutine performs the log's disk actions in order;
// actions that arrive during a sync share the next one.
type disk struct {
	mailbox *looper.Mailbox[driver.Event]
	folder  folder
	report  diskReport
	journal *journaler.Journal
	store   *snapshotter.Store
	queue   *looper.Outbox[driver.Action]
	saves   *looper.Outbox[driver.Action]

	mutex    sync.Mutex // serializes Save, Receive and Install of the store
	received *snapshotter.Receiver
}

// openDisk reads the data folder, and closes it after an error. The recovery includes the content of the newest snapshot.
func openDisk(folder folder, segmentSize int64, report diskReport, mailbox *looper.Mailbox[driver.Event]) (*disk, recovery, error) {
	d := &disk{mailbox: mailbox, folder: folder, report: report, queue: looper.NewOutbox[driver.Action](), saves: looper.NewOutbox[driver.Action]()}
	d.journal = &journaler.Journal{Folder: folder, SegmentSize: segmentSize, DiskID: rand.Uint64(), Log: report.log}
	d.store = &snapshotter.Store{Folder: folder, Log: report.log}
	recovered, err := d.recover()
	if err != nil {
		folder.Close()
		return nil, recovery{}, err
	}
	return d, recovered, nil
}

func (d *disk) recover() (recovery, error) {
	content, err := d.journal.Open()
	if err != nil {
		return recovery{}, err
	}
	d.report.metrics.Disk.SetJournal(d.journal.Size())
	if err := d.store.Clean(); err != nil {
		return recovery{}, err
	}
	r := recovery{disk: content.DiskID}
	if content.State.Term > 0 {
		r.log.State = replicator.HardState{Term: replicator.Term(content.State.Term),
			Vote:       replicator.ServerID{Name: content.State.Vote, Disk: content.State.VoteDisk},
			Leader:     replicator.ServerID{Name: content.State.Leader, Disk: content.State.LeaderDisk},
			LeaderTerm: replicator.Term(content.State.LeaderTerm)}
	}
	if err := d.readSnapshot(&r); err != nil {
		return recovery{}, err
	}
	if content.Base > uint64(r.log.Snapshot.Index) {
		return recovery{}, errors.Newf("the journal begins after %d, but the newest snapshot ends at %d: replace this controller", content.Base, r.log.Snapshot.Index)
	}
	for _, record := range content.Records {
		entry, err := transporter.DecodeEntry(record.Data)
		if err != nil {
			return recovery{}, errors.Wrapf(err, "log entry %d", record.Index)
		}
		r.log.Entries = append(r.log.Entries, entry)
	}
	return r, nil
}

func (d *disk) readSnapshot(r *recovery) error {
	newest, err := d.store.Newest()
	if errors.Is(err, snapshotter.ErrNoSnapshot) {
		return nil
	}
	if err != nil {
		return err
	}
	defer newest.Close()
	d.report.metrics.Disk.SetSnapshot(newest.Size)
	if r.log.Snapshot, err = transporter.DecodeSnapshot(newest.Meta.Extra); err != nil {
		return err
	}
	r.content, err = io.ReadAll(newest.Body())
	return errors.Wrap(err, "read the snapshot")
}

// close ends the journal cleanly and releases the folder.
func (d *disk) close() error {
	return errors.CombineErrors(d.journal.Close(), d.folder.Close())
}

// run performs disk actions until ctx ends or the disk fails. After a failure the process must stop. While the disk is full, actions wait.
func (d *disk) run(ctx context.Context) error {
	room := &roomWaiter{report: d.report}
	d.journal.Full = func(cause error) error {
		return room.wait(ctx, errors.Wrapf(cause, "a log of %d bytes", d.journal.Size()))
	}
	for {
		actions, err := d.queue.Take(ctx)
		if err != nil {
			return err
		}
		write, err := d.perform(actions)
		if err != nil {
			return err
		}
		if write == 0 {
			continue
		}
		if err := d.mailbox.Send(ctx, driver.Event{Log: replicator.Synced{Write: write}}); err != nil {
			return err
		}
	}
}

// perform commits the actions and returns the number of the last write, or 0.
func (d *disk) perform(actions []driver.Action) (replicator.Write, error) {
	var operations []journaler.Operation
	var last replicator.Write
	for _, action := range actions {
		switch action := action.Log.(type) {
		case replicator.Append:
			records, err := encodeRecords(action.Entries)
			if err != nil {
				return 0, err
			}
			operations, last = append(operations, journaler.Append{Records: records}), action.Write
		case replicator.Truncate:
			operations, last = append(operations, journaler.Truncate{From: uint64(action.From)}), action.Write
		case replicator.Persist:
			state := journaler.HardState{Term: uint64(action.State.Term), Vote: action.State.Vote.Name, VoteDisk: action.State.Vote.Disk,
				Leader: action.State.Leader.Name, LeaderDisk: action.State.Leader.Disk, LeaderTerm: uint64(action.State.LeaderTerm)}
			operations, last = append(operations, journaler.Persist{State: state}), action.Write
		case replicator.Compact:
			operations = append(operations, journaler.Compact{Through: uint64(action.Through)})
		case replicator.Restore:
			if err := d.commit(operations); err != nil {
				return 0, err
			}
			if err := d.install(); err != nil {
				return 0, err
			}
			operations, last = []journaler.Operation{journaler.Reset{Index: uint64(action.Snapshot.Index)}}, action.Write
		}
	}
	return last, d.commit(operations)
}

// commit makes the operations durable in one write.
func (d *disk) commit(operations []journaler.Operation) error {
	if len(operations) == 0 {
		return nil
	}
	began := time.Now()
	before := d.journal.Base()
	if err := d.journal.Commit(operations...); err != nil {
		return err
	}
	d.report.committed(time.Since(began), d.journal.Size())
	if d.journal.Base() > before {
		d.report.compacted(d.journal.Base(), d.journal.Size())
	}
	return nil
}

func encodeRecords(entries []replicator.Entry) ([]journaler.Record, error) {
	records := make([]journaler.Record, len(entries))
	for i, entry := range entries {
		data, err := transporter.EncodeEntry(entry)
		if err != nil {
			return nil, errors.Wrapf(err, "encode log entry %d", entry.Index)
		}
		records[i] = journaler.Record{Index: uint64(entry.Index), Term: uint64(entry.Term), Data: data}
	}
	return records, nil
}

// save writes snapshots until ctx ends, concurrently with the log's own writes.
func (d *disk) save(ctx context.Context) error {
	for {
		actions, err := d.saves.Take(ctx)
		if err != nil {
			return err
		}
		for _, action := range actions {
			snapshot := action.Log.(replicator.SaveSnapshot).Snapshot
			if err := d.saveWhenRoom(ctx, snapshot, action.Image); err != nil {
				return err
			}
			if err := d.mailbox.Send(ctx, driver.Event{Log: replicator.SnapshotSaved{Index: snapshot.Index}}); err != nil {
				return err
			}
		}
	}
}

// saveWhenRoom saves a snapshot, and repeats that while the disk is full.
func (d *disk) saveWhenRoom(ctx context.Context, snapshot replicator.Snapshot, image *driver.Image) error {
	room := &roomWaiter{report: d.report}
	for {
		began := time.Now()
		size, err := d.saveOne(snapshot, image)
		if err == nil {
			d.report.saved(uint64(snapshot.Index), size, time.Since(began))
		}
		if !journaler.IsFull(err) {
			return err
		}
		if err := room.wait(ctx, err); err != nil {
			return err
		}
	}
}

// saveOne saves a snapshot and returns the size of its file in bytes.
func (d *disk) saveOne(snapshot replicator.Snapshot, image *driver.Image) (int64, error) {
	extra, err := transporter.EncodeSnapshot(snapshot)
	if err != nil {
		return 0, errors.Wrap(err, "encode the snapshot's description")
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	meta := snapshotter.Meta{Index: uint64(snapshot.Index), Term: uint64(snapshot.Term), Extra: extra}
	return d.store.Save(meta, image.Encode)
}

// install makes the received snapshot the newest one. If no snapshot was received, the process crashed during a Restore after
// it had installed the snapshot, and there is nothing left to install.
func (d *disk) install() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.received == nil {
		return nil
	}
	received := d.received
	d.received = nil
	return received.Install()
}

// receive begins the transfer of a snapshot from another controller, one at a time.
func (d *disk) receive() (*snapshotter.Receiver, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.received != nil {
		return nil, errors.New("another transfer is under way")
	}
	receiver, err := d.store.Receive()
	d.received = receiver
	return receiver, err
}

// discard ends a transfer whose snapshot is not restored.
func (d *disk) discard(receiver *snapshotter.Receiver) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.received == receiver {
		d.received = nil
		// A file that can't be removed now is removed at the next start.
		_ = receiver.Drop()
	}
}
