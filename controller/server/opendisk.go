package server

import "oleandertally/state/journaler"

// openDisk opens and reads the data folder.
func (c *Controller) openDisk() (*disk, recovery, error) {
	open := c.openFolder
	if open == nil {
		open = func(path string) (folder, error) { return journaler.OpenDisk(path) }
	}
	opened, err := open(c.DataFolder)
	if err != nil {
		return nil, recovery{}, err
	}
	return openDisk(opened, c.segmentSize, diskReport{log: c.Log, metrics: c.Metrics, logged: c.Logged}, c.mailbox)
}
