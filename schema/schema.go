// Package schema contains the JSON schemas of settings, configuration and
// messages. `make generate` generates Go types from them; settings and
// configuration are validated against them when they are read.
package schema

import _ "embed"

var (
	// Settings is the schema of a node's settings file.
	//go:embed settings.json
	Settings []byte

	// Config is the schema of the system's configuration.
	//go:embed config.json
	Config []byte
)
