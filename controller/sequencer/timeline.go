package sequencer

import (
	"fmt"
	"net/netip"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// noteChange records a change of the membership or the configuration that took effect.
func (s *Sequencer) noteChange(command specifier.Command, decision specifier.Decision) {
	if decision.Verdict != specifier.Applied {
		return
	}
	switch command := command.(type) {
	case specifier.JoinMember:
		s.note(recorder.MemberJoined, command.Member.Identity.String(), string(command.Member.Role)+" in "+command.Member.Zone)
	case specifier.EndMember:
		s.note(recorder.MemberDown, command.Identity.String(), "")
	case specifier.DrainMember:
		s.note(recorder.DrainChanged, command.Name, fmt.Sprintf("draining %t", command.Draining))
	case specifier.ChangeConfiguration:
		s.note(recorder.ConfigurationChanged, "", fmt.Sprintf("revision %d by %s", decision.Revision, command.Operator))
	}
}

func (s *Sequencer) note(kind recorder.Kind, other, detail string) {
	s.out = append(s.out, RecordEvent{recorder.Event{Kind: kind, Other: other, Detail: detail}})
}

func leaderText(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return ""
	}
	return addr.String()
}
