package supervisor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

func TestLogger(t *testing.T) {
	t.Run("names", func(t *testing.T) {
		// Guards against renamed fields, on which operators' searches depend, and against events that span
		// several lines.
		var out bytes.Buffer
		log, err := NewLogger(&out, "Info", "entry-1", specifier.Entry)
		must.NoError(t, err)
		log.Info().EmbedObject(Fields{Event: "TaskLost", Job: specifier.JobID{1}, Task: "t", Epoch: 2, Peer: "agent-1"}).
			Err(fmt.Errorf("a\nb")).Msg("lost")
		log.Debug().Msg("below the level")
		must.Eq(t, 1, strings.Count(out.String(), "\n"))
		var line map[string]any
		must.NoError(t, json.Unmarshal(out.Bytes(), &line))
		_, err = time.Parse(time.RFC3339Nano, line[FieldTime].(string))
		must.NoError(t, err)
		delete(line, FieldTime)
		must.Eq(t, map[string]any{"Level": "Info", "Process": "entry-1", "Role": "Entry", "Event": "TaskLost",
			"Job": "01000000000000000000000000000000", "Task": "t", "Epoch": 2.0, "Peer": "agent-1",
			"Error": "a\nb", "Message": "lost"}, line)
	})
	for _, level := range []string{"", "info", "Trace", "Fatal"} {
		t.Run("level "+level, func(t *testing.T) {
			_, err := NewLogger(&bytes.Buffer{}, level, "entry-1", specifier.Entry)
			must.ErrorContains(t, err, "expected Debug, Info, Warn or Error")
		})
	}
}

func TestFaultLog(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var out bytes.Buffer
	log, err := NewLogger(&out, "Info", "entry-1", specifier.Entry)
	must.NoError(t, err)
	faults := NewFaultLog(log, time.Minute, func() time.Time { return now })
	report := func(peer string, lines int) {
		t.Helper()
		out.Reset()
		faults.Report(Fields{Event: "Unreachable", Peer: peer}, errBroken)
		must.Eq(t, lines, strings.Count(out.String(), "\n"))
	}
	t.Run("repeats", func(t *testing.T) {
		// Guards against a log that fills with equal faults of one broken connection.
		report("agent-1", 1)
		report("agent-1", 0)
		report("agent-1", 0)
		report("agent-2", 1)
		now = now.Add(time.Minute)
		report("agent-1", 1)
		must.StrContains(t, out.String(), `"Dropped":2`)
	})
	t.Run("bounded memory", func(t *testing.T) {
		// Guards against memory that grows with every fault of a new peer.
		for i := range 2 * maxFaults {
			faults.Report(Fields{Event: "Unreachable", Peer: fmt.Sprint(i)}, errBroken)
		}
		must.LessEq(t, maxFaults+1, len(faults.limiter.faults))
		now = now.Add(time.Hour)
		report("another", 1)
		must.LessEq(t, 2, len(faults.limiter.faults))
	})
}
