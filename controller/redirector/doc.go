// Package redirector serves on a host without a disk in the place of a controller. It keeps no state and has no part in the
// log: it tells entries, agents and controllers that join where the controllers are.
package redirector
