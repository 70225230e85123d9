package main

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
)

var (
	exitRow     = regexp.MustCompile(`(?m)^\| ([0-9]) \|`)
	pageCommand = regexp.MustCompile("(?m)(?:^    |`)tally ([a-z]+)(?: (list|show|apply|compare|revert))?([^`#\n]*)")
)

// Guards against commands, flags or exit codes on the operators' page that do not exist, and against exit codes that the
// page lacks.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	must.NoError(t, err)
	t.Run("exit codes", func(t *testing.T) {
		var codes []string
		for _, match := range exitRow.FindAllStringSubmatch(string(page), -1) {
			codes = append(codes, match[1])
		}
		must.Eq(t, "01234567", strings.Join(codes, ""))
		must.Eq(t, 7, exitDifferent)
	})
	t.Run("commands", func(t *testing.T) {
		found := pageCommand.FindAllStringSubmatch(string(page), -1)
		must.Greater(t, 10, len(found))
		for _, match := range found {
			assertCommand(t, match[1], match[2], match[3])
		}
	})
}

// assertCommand checks that the command exists and has the flags that occur in rest.
func assertCommand(t *testing.T, name, sub, rest string) {
	t.Helper()
	env := newEnvironment()
	list, want := commands(env), name
	if name == "help" {
		return
	}
	if name == "profiles" && sub != "" {
		list, want = profileCommands(env), sub
	}
	for _, c := range list {
		if c.Name() != want {
			continue
		}
		for word := range strings.FieldsSeq(rest) {
			if strings.HasPrefix(word, "-") {
				must.True(t, hasFlag(c, word[1:]), must.Sprintf("%s %s has no %s", name, sub, word))
			}
		}
		return
	}
	t.Errorf("no command %q %q", name, sub)
}

func hasFlag(c subcommands.Command, name string) bool {
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	c.SetFlags(flags)
	return flags.Lookup(name) != nil
}
