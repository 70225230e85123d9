package driver

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/controller/sequencer"
	"oleandertally/core/specifier"
	"oleandertally/state/replicator"
)

// New connects a log, a sequencer and a dispatcher. The caller sets their other exported fields and those of the driver.
func New(node *replicator.Node, control *sequencer.Sequencer, queues *dispatcher.Dispatcher) *Driver {
	control.Leading, control.Size = node.Leading, size
	control.MaxBytes = node.Settings.MaxEntry - commandOverhead
	if control.MaxBatch <= 0 || control.MaxBatch > specifier.MaxBatch {
		control.MaxBatch = specifier.MaxBatch
	}
	d := &Driver{Node: node, Sequencer: control, Dispatcher: queues}
	queues.Leading, queues.EnoughVoters = node.Leading, d.enoughVoters
	return d
}
