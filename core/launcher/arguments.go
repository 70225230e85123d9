package launcher

import (
	"flag"
	"io"

	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// Arguments are the command-line arguments that all programs share.
type Arguments struct {
	Settings string // path of the settings file
	Name     string // name of the process; set if the file describes a deployment
}

// ParseArguments parses arguments, which exclude the program's name, and writes errors and usage to out.
// The functions in more define the program's own flags.
func ParseArguments(program string, arguments []string, out io.Writer, more ...func(*flag.FlagSet)) (Arguments, error) {
	var parsed Arguments
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVar(&parsed.Settings, "settings", "", "settings `file` of this process, or of a deployment with -name")
	flags.StringVar(&parsed.Name, "name", "", "`name` of this process in the settings of a deployment")
	for _, define := range more {
		define(flags)
	}
	if err := flags.Parse(arguments); err != nil {
		return parsed, errors.Mark(err, ErrSettings)
	}
	if parsed.Settings == "" || flags.NArg() > 0 {
		flags.Usage()
		return parsed, errors.Mark(errors.New("expected -settings FILE and no argument that is not a flag"), ErrSettings)
	}
	return parsed, nil
}

// Read returns the settings of the process. Without Name, read reads them from the file; with Name, find
// selects them in the settings of the deployment.
func Read[S any](arguments Arguments, read func(path string) (S, error), find func(site *configurator.DeploymentSettings, name string) (S, bool)) (S, error) {
	if arguments.Name == "" {
		settings, err := read(arguments.Settings)
		return settings, errors.Mark(err, ErrSettings)
	}
	site, err := configurator.Read[configurator.DeploymentSettings](arguments.Settings)
	if err != nil {
		var zero S
		return zero, errors.Mark(err, ErrSettings)
	}
	settings, ok := find(&site, arguments.Name)
	if !ok {
		return settings, errors.Mark(errors.Newf("%s: no process %q of this role", arguments.Settings, arguments.Name), ErrSettings)
	}
	return settings, nil
}
