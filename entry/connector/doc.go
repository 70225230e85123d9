// Package connector carries the coordinator's actions to controllers, agents and other entries, and their
// messages back as events.
package connector
