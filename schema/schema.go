// Package schema holds the JSON schemas of settings, configuration and
// messages. Go types are generated from them by `make generate`; the settings
// and the configuration are checked against them when they are read.
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
