package merger

import (
	"fmt"
	"strings"

	"oleandertally/core/recorder"
)

// Lines returns the summary as lines of text, with tabs between the columns.
func (s Summary) Lines() []string {
	if s.Owner == "" {
		return []string{fmt.Sprintf("Job %s\tno events: it is unknown here, or its events are no longer held", s.Job)}
	}
	lines := []string{fmt.Sprintf("Job %s\t%s", s.Job, s.headline())}
	if refused := s.Refused(); refused != nil {
		lines = append(lines, "Refused because\t"+refusalText(*refused))
	}
	if longest := s.Longest(); longest != nil && longest.Spent > 0 {
		lines = append(lines, "Most time\t"+longest.Name)
	}
	for _, phase := range s.Phases {
		lines = append(lines, "  "+phase.Name+"\t"+phase.text())
	}
	if s.Task != "" {
		lines = append(lines, fmt.Sprintf("  task followed\t%q, the last of %d", s.Task, s.Tasks))
	}
	for _, refusal := range s.Refusals {
		lines = append(lines, fmt.Sprintf("  refused by agents\t%d tasks: %s", refusal.Tasks, refusal.Cause))
	}
	for _, answer := range s.Answers {
		lines = append(lines, fmt.Sprintf("  answer\t%s, by %s", strings.TrimSpace(answer.Detail), recorder.ProcessName(answer.Process)))
	}
	if len(s.Epochs) > 1 {
		for _, owned := range s.Epochs {
			lines = append(lines, fmt.Sprintf("  owner\tepoch %d at %s", owned.Epoch, recorder.ProcessName(owned.Process)))
		}
	}
	return lines
}

func (s Summary) headline() string {
	if !s.Answered {
		return fmt.Sprintf("not answered, %s after it was submitted at %s", round(s.Total), recorder.ProcessName(s.Owner))
	}
	return fmt.Sprintf("answered after %s at %s", round(s.Total), recorder.ProcessName(s.Owner))
}

// refusalText describes an answer whose outcome is NotRun.
func refusalText(answer Entry) string {
	parsed := recorder.ParseAnswer(answer.Detail)
	text := string(parsed.Reason)
	if parsed.Detail != "" {
		text += ": " + parsed.Detail
	}
	when := "before acceptance"
	if answer.Epoch > 0 {
		when = fmt.Sprintf("after acceptance under epoch %d", answer.Epoch)
	}
	return fmt.Sprintf("%s (%s, by %s)", text, when, recorder.ProcessName(answer.Process))
}

func (p Phase) text() string {
	switch p.State {
	case Skipped:
		return "-"
	case Cut:
		return fmt.Sprintf("%s at %s, until the answer", round(p.Spent), recorder.ProcessName(p.Process))
	case Open:
		return fmt.Sprintf("%s at %s, not ended", round(p.Spent), recorder.ProcessName(p.Process))
	}
	return fmt.Sprintf("%s at %s", round(p.Spent), recorder.ProcessName(p.Process))
}
