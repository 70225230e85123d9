package driver

import (
	"oleandertally/controller/sequencer"
	"oleandertally/core/specifier"
	"oleandertally/state/replicator"
)

// New joins a log with a sequencer. The other exported fields of both and of the driver are still to be set.
func New(node *replicator.Node, control *sequencer.Sequencer) *Driver {
	control.Leading, control.Size = node.Leading, size
	control.MaxBytes = node.Settings.MaxEntry - itemOverhead
	if control.MaxBatch <= 0 || control.MaxBatch > specifier.MaxBatch {
		control.MaxBatch = specifier.MaxBatch
	}
	return &Driver{Node: node, Sequencer: control}
}
