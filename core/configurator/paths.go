package configurator

import "path/filepath"

// resolvePath makes a relative path relative to folder, so that it does not depend on where a
// program is started.
func resolvePath(path *string, folder string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(folder, *path)
	}
}
