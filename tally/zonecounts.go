package main

import (
	"strconv"

	"oleandertally/core/specifier"
)

// zoneCounts contains the totals over the members of one availability zone.
type zoneCounts struct {
	up, draining, down, slots, running, queued int
	known                                      bool // whether the load of any member is known
}

func (z *zoneCounts) add(member specifier.Member, load specifier.Load, known bool) {
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

func (z *zoneCounts) cells() []string {
	running, queued := "-", "-"
	if z.known {
		running, queued = strconv.Itoa(z.running), strconv.Itoa(z.queued)
	}
	return []string{strconv.Itoa(z.up), strconv.Itoa(z.draining), strconv.Itoa(z.down), strconv.Itoa(z.slots), running, queued}
}
