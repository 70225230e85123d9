package merger

import (
	_ "embed"
	"html/template"
	"io"
	"strings"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

//go:embed page.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of page.tmpl.
type page struct {
	Title    string
	Summary  [][2]string
	Warnings []string
	Clocks   []Clock
	Drawing  drawing
	Rows     []row
}

// WriteHTML writes the time line as one self-contained page with a lane for each process. When job is not zero, the
// summary of job comes first.
func WriteHTML(w io.Writer, timeline Timeline, job specifier.JobID) error {
	p := page{Title: "Time line", Warnings: timeline.Warnings(), Clocks: timeline.Clocks, Drawing: draw(timeline)}
	if job != (specifier.JobID{}) {
		p.Title = "Time line of job " + job.String()
		for _, line := range Summarize(timeline, job).Lines() {
			name, value, _ := strings.Cut(strings.TrimSpace(line), "\t")
			p.Summary = append(p.Summary, [2]string{name, value})
		}
	}
	for i, e := range timeline.Entries {
		after := time.Duration(0)
		if i > 0 {
			after = e.Aligned.Sub(timeline.Entries[i-1].Aligned)
		}
		p.Rows = append(p.Rows, row{Time: e.Aligned.UTC().Format(timeFormat), After: signed(after),
			Process: recorder.ProcessName(e.Process), Kind: string(e.Kind), Task: e.Task, Epoch: epochText(e.Epoch),
			Peer: recorder.ProcessName(e.Other), Detail: e.Detail})
	}
	return pageTemplate.Execute(w, p)
}
