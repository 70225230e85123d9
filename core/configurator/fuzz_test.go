package configurator

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParse guards against input that crashes the reader, and against problems without a file and line.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob(filepath.Join(examples, "*.yaml"))
	must.NoError(f, err)
	for _, file := range append(files, "testdata/five.yaml") {
		data, err := os.ReadFile(file)
		must.NoError(f, err)
		f.Add(data)
	}
	for _, text := range []string{"", "a", "? a\n: b", "{", "- - -", "&a [*a]", "!!map {}", "<<: {A: 1}", "A: |\n  b", "\x00", "{{A: 1}: 2}", "Name:", "---\n---"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		mustLocateProblems[EntrySettings](t, data)
		mustLocateProblems[AgentSettings](t, data)
		mustLocateProblems[ControllerSettings](t, data)
		mustLocateProblems[OperatorSettings](t, data)
		mustLocateProblems[DeploymentSettings](t, data)
		mustLocateProblems[ProfileSettings](t, data)
	})
}

func mustLocateProblems[S any, P interface {
	*S
	settings
}](t *testing.T, data []byte) {
	t.Helper()
	value, err := Parse[S, P]("f", data)
	if err == nil {
		must.NoError(t, Check[S, P](value))
		return
	}
	var problems Problems
	must.True(t, errors.As(err, &problems))
	must.Positive(t, len(problems))
	for _, problem := range problems {
		must.Eq(t, "f", problem.File)
		must.Positive(t, problem.Line)
		must.NotEq(t, "", problem.Text)
	}
}
