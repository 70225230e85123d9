package exporter

import "github.com/prometheus/client_golang/prometheus"

// Disk contains the metrics of a controller's data folder. It is safe for concurrent use.
type Disk struct {
	journal   prometheus.Gauge
	snapshot  prometheus.Gauge
	snapshots prometheus.Counter
	rejected  prometheus.Counter
}

// newDisk returns the metrics, which are not registered yet.
func newDisk() *Disk {
	const role = "controller"
	return &Disk{
		journal:   gauge(role, "journal_bytes", "Size of the files of the log."),
		snapshot:  gauge(role, "snapshot_bytes", "Size of the newest snapshot."),
		snapshots: counter(role, "snapshots_total", "Snapshots that were saved."),
		rejected:  counter(role, "full_disk_writes_total", "Writes that failed because the disk was full, with the attempts to repeat them."),
	}
}

// AddTo adds the metrics to those of a process that serves queues.
func (d *Disk) AddTo(process *Queues) { process.registry.MustRegister(d.collectors()...) }

func (d *Disk) collectors() []prometheus.Collector {
	return []prometheus.Collector{d.journal, d.snapshot, d.snapshots, d.rejected}
}

// SetJournal reports the size of the log's files, in bytes.
func (d *Disk) SetJournal(bytes int64) { d.journal.Set(float64(bytes)) }

// SetSnapshot reports the size of the newest snapshot, in bytes.
func (d *Disk) SetSnapshot(bytes int64) { d.snapshot.Set(float64(bytes)) }

// SnapshotSaved counts a snapshot that was saved.
func (d *Disk) SnapshotSaved() { d.snapshots.Inc() }

// Rejected counts a write that failed because the disk was full.
func (d *Disk) Rejected() { d.rejected.Inc() }
