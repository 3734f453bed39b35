// Package features reads the file of settings for what the product has beyond the users' platform: everything is
// off without it. The platform's own configuration is in package config.
package features

import "merlinarch/internal/template"

// Features is what a file may switch on; each subsystem adds a field of its own. There is none yet.
type Features struct{}

// Load reads a file; without a path everything is off. A wrong file is a *template.Error.
func Load(path string) (Features, error) {
	var f Features
	if path == "" {
		return f, nil
	}
	object, err := template.Load(path)
	if err != nil {
		return f, err
	}
	return f, template.Decode(path, object, &f)
}
