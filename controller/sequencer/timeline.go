package sequencer

import (
	"fmt"
	"net/netip"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// recordChange adds an applied change of the membership or the configuration to the time line.
func (s *Sequencer) recordChange(command specifier.Command, decision specifier.Decision) {
	if decision.Verdict != specifier.Applied {
		return
	}
	switch command := command.(type) {
	case specifier.JoinMember:
		s.record(recorder.MemberJoined, command.Member.Identity.String(), string(command.Member.Role)+" in "+command.Member.Zone)
	case specifier.EndMember:
		s.record(recorder.MemberDown, command.Identity.String(), "")
	case specifier.DrainMember:
		s.record(recorder.DrainChanged, command.Name, fmt.Sprintf("draining %t", command.Draining))
	case specifier.ChangeConfiguration:
		s.record(recorder.ConfigurationChanged, "", fmt.Sprintf("revision %d by %s", decision.Revision, command.Operator))
	}
}

func (s *Sequencer) record(kind recorder.Kind, other, detail string) {
	s.actions = append(s.actions, RecordEvent{recorder.Event{Kind: kind, Other: other, Detail: detail}})
}

func leaderText(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return ""
	}
	return addr.String()
}
