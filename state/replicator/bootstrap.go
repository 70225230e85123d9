package replicator

// Bootstrap begins a new cluster on a server with an empty disk; elsewhere it is ignored. Several
// servers may begin together if all get the same list. An operator asks for it once in the life of a cluster: a
// host that lost its disk joins with AddServer instead.
type Bootstrap struct {
	Servers []Server // includes this server as a voter
}

func (Bootstrap) event() {}
