// Package redirector runs instead of a controller on a host without a disk. It keeps no state and takes no part in the
// replicated log: it sends the controllers' addresses to entries, agents and joining controllers.
package redirector
