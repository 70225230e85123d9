package main

import (
	"strconv"

	"oleandertally/core/specifier"
)

// zone counts the members of one availability zone.
type zone struct {
	up, draining, down, slots, running, queued int
	known                                      bool // some member's load is known
}

func (z *zone) add(member specifier.Member, load specifier.Load, known bool) {
	switch member.State {
	case specifier.Up:
		z.up++
		z.slots += member.Slots
	case specifier.Draining:
		z.draining++
	case specifier.Down:
		z.down++
	}
	z.known = z.known || known
	z.running += load.Running
	z.queued += load.Queued
}

func (z *zone) cells() []string {
	running, queued := "-", "-"
	if z.known {
		running, queued = strconv.Itoa(z.running), strconv.Itoa(z.queued)
	}
	return []string{strconv.Itoa(z.up), strconv.Itoa(z.draining), strconv.Itoa(z.down), strconv.Itoa(z.slots), running, queued}
}
