package launcher

import (
	"flag"
	"io"

	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// Arguments are those of every program.
type Arguments struct {
	Settings string // file
	Name     string // of the process, when the file is that of a deployment
}

// ParseArguments reads the arguments after the program's name. It writes the usage to out. More defines
// flags of the program's own.
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

// Read returns the settings of the process: the whole file, or what find returns from the file of a
// deployment.
func Read[S any](arguments Arguments, read func(path string) (S, error), find func(site *configurator.DeploymentSettings, name string) (S, bool)) (S, error) {
	if arguments.Name == "" {
		settings, err := read(arguments.Settings)
		return settings, errors.Mark(err, ErrSettings)
	}
	site, err := configurator.Read[configurator.DeploymentSettings](arguments.Settings)
	if err != nil {
		var none S
		return none, errors.Mark(err, ErrSettings)
	}
	settings, ok := find(&site, arguments.Name)
	if !ok {
		return settings, errors.Mark(errors.Newf("%s: no process %q of this role", arguments.Settings, arguments.Name), ErrSettings)
	}
	return settings, nil
}
