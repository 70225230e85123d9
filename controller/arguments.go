package main

import (
	"flag"
	"io"

	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// arguments are those of the command line.
type arguments struct {
	settings  string // file
	name      string // of this controller, when the file is that of a deployment
	bootstrap bool
}

// parseArguments writes the usage to out when the arguments are wrong.
func parseArguments(list []string, out io.Writer) (arguments, error) {
	var a arguments
	flags := flag.NewFlagSet("controller", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVar(&a.settings, "settings", "", "settings `file` of this controller, or of a deployment with -name")
	flags.StringVar(&a.name, "name", "", "`name` of this controller in the settings of a deployment")
	flags.BoolVar(&a.bootstrap, "bootstrap", false, "begin a new site; only for its first controller, on a new data folder")
	if err := flags.Parse(list); err != nil {
		return a, err
	}
	if a.settings == "" || flags.NArg() > 0 {
		flags.Usage()
		return a, errors.New("expected -settings FILE, and no arguments beside -name and -bootstrap")
	}
	return a, nil
}

// read returns the settings of this controller.
func (a arguments) read() (configurator.ControllerSettings, error) {
	if a.name == "" {
		return configurator.Read[configurator.ControllerSettings](a.settings)
	}
	site, err := configurator.Read[configurator.DeploymentSettings](a.settings)
	if err != nil {
		return configurator.ControllerSettings{}, err
	}
	settings, ok := site.Controller(a.name)
	if !ok {
		return settings, errors.Newf("%s: Controllers: none is named %q", a.settings, a.name)
	}
	return settings, nil
}
