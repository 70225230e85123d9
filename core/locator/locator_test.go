package locator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/encoder"
)

const (
	first  = "127.0.0.1:1"
	second = "127.0.0.1:2"
	third  = "127.0.0.1:3"
	dark   = "127.0.0.1:9"
)

func follower(leader string) *encoder.QueueWelcome { return &encoder.QueueWelcome{Leader: leader} }

func leads() *encoder.QueueWelcome { return &encoder.QueueWelcome{Leading: true} }

func TestSearch(t *testing.T) {
	t.Run("a controller that leads later is found although another one never learns of it", func(t *testing.T) {
		// Guards against a client that waits at one follower, for example one that lost its disk, while others know the leader.
		site := &fakeSite{controllers: map[string][]welcomeAt{
			first:  {{0, follower("")}},
			second: {{0, follower("")}, {450 * time.Millisecond, leads()}},
			third:  {{0, follower("")}},
		}}
		leader, took := mustFind(t, site, first, second, third)
		must.Eq(t, second, leader.String())
		must.Less(t, 500*time.Millisecond, took)
	})
	t.Run("a follower's word is followed while its stream stays open", func(t *testing.T) {
		// Guards against a stale leader's address: the follower names it first, and the new one later.
		site := &fakeSite{controllers: map[string][]welcomeAt{
			first:  {{0, follower(dark)}, {300 * time.Millisecond, follower(third)}},
			second: {{0, follower(dark)}},
			third:  {{0, follower(dark)}, {300 * time.Millisecond, leads()}},
		}}
		leader, took := mustFind(t, site, first, second)
		must.Eq(t, third, leader.String())
		must.LessEq(t, 310*time.Millisecond, took)
		must.LessEq(t, 2, site.opened[dark])
	})
	t.Run("a named leader that did not listen yet is asked again soon", func(t *testing.T) {
		// Guards against an agent that finds the leader late after a loss of power because it started before the leader's process.
		site := &fakeSite{controllers: map[string][]welcomeAt{
			first:  {{0, follower(second)}, {100 * time.Millisecond, follower(second)}},
			second: {{0, leads()}},
		}, listensAt: map[string]time.Duration{second: 60 * time.Millisecond}}
		_, took := mustFind(t, site, first)
		must.LessEq(t, 110*time.Millisecond, took)
	})
	t.Run("few streams are opened while nobody leads", func(t *testing.T) {
		// Guards against a storm of connections while hundreds of clients wait for an election.
		site := &fakeSite{controllers: map[string][]welcomeAt{
			first:  {{0, follower("")}},
			second: {{0, follower("")}},
			third:  {{0, follower("")}, {2 * time.Second, leads()}},
		}}
		mustFind(t, site, first, second, third)
		total := 0
		for _, count := range site.opened {
			total += count
		}
		must.LessEq(t, 18, total)
	})
	t.Run("a controller that is not a seed is found through the list of a follower", func(t *testing.T) {
		listed := follower("")
		listed.Controllers = []string{second, third}
		site := &fakeSite{controllers: map[string][]welcomeAt{first: {{0, listed}}, second: {{0, follower("")}}, third: {{0, leads()}}}}
		leader, _ := mustFind(t, site, first)
		must.Eq(t, third, leader.String())
	})
}
