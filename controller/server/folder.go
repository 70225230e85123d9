package server

import "oleandertally/state/journaler"

// folder is an open data folder. *journaler.Disk implements it; tests inject faults.
type folder interface {
	journaler.Folder
	// Close releases the folder to other processes.
	Close() error
}
