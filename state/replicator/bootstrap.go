package replicator

// Bootstrap creates a new cluster on a server with an empty disk; a server with data ignores it. Several servers may
// bootstrap together if all get the same list. An operator bootstraps a cluster once; a host that lost its disk joins
// with AddServer instead.
type Bootstrap struct {
	Servers []Server // includes this server as a voter
}

func (Bootstrap) event() {}
