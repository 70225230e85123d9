// Package connector sends the coordinator's actions to controllers, agents and other entries, and delivers their
// messages to the coordinator as events.
package connector
