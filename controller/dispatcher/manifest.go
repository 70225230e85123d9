package dispatcher

import "oleandertally/core/specifier"

// putManifest proposes a manifest. A manifest that is not newer than the one in force changes nothing and is acknowledged.
func (d *Dispatcher) putManifest(from waiter, manifest *specifier.Manifest) {
	if manifest == nil || manifest.Version == 0 || len(manifest.Document) > specifier.MaxManifest {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: "the manifest has no version or is too large"})
		return
	}
	if manifest.Version <= d.Recorder.Manifest().Version {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK})
		return
	}
	d.manifestWaiters[manifest.Version] = append(d.manifestWaiters[manifest.Version], from)
	d.propose(specifier.QueueCommand{Manifest: manifest})
}

// answerManifest answers the calls that wait for a manifest.
func (d *Dispatcher) answerManifest(version uint64, reply specifier.QueueReply) {
	for _, from := range d.manifestWaiters[version] {
		d.reply(from, reply)
	}
	delete(d.manifestWaiters, version)
}

func (d *Dispatcher) getManifest(from waiter) {
	manifest := d.Recorder.Manifest()
	if manifest.Version == 0 {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueUnavailable, Detail: "there is no manifest yet"})
		return
	}
	d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, Document: manifest.Document})
}
