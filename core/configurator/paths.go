package configurator

import "path/filepath"

// resolvePath joins a relative path to folder, so that it does not depend on the working directory of
// the program.
func resolvePath(path *string, folder string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(folder, *path)
	}
}
