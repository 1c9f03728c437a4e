package settings

import (
	"os"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/tomlfile"
)

// Load reads and checks a settings file. The error is a tomlfile.Faults when the file could be
// read but is invalid.
func Load(file string) (Settings, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fault.New("read settings", "", err)
	}
	return Parse(file, document)
}

// Parse checks a settings document; file is used in error messages only.
func Parse(file string, document []byte) (Settings, error) {
	s := Default()
	positions, faults := tomlfile.Decode(file, document, &s)
	check := &checker{file: file, positions: positions, faults: faults}
	check.all(s)
	return s, check.faults.Err()
}
