package settings

// Log configures the structured log on standard error.
type Log struct {
	// Level is one of debug, info, warn and error. Default info.
	Level string `toml:"level"`
}
