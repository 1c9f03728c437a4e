package command

import (
	"errors"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// loadFiles reads catalogue files as one. Errors: catalogue.FileErrors with the
// mistakes of all files, or *InputError for one that cannot be read.
func loadFiles(names []string) (*catalogue.File, error) {
	all := &catalogue.File{}
	var mistakes catalogue.FileErrors
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, &InputError{Err: fault.New("read catalogue file", name, err)}
		}
		file, err := catalogue.Load(name, data)
		var found catalogue.FileErrors
		if errors.As(err, &found) {
			mistakes = append(mistakes, found...)
			continue
		}
		mistakes = append(mistakes, all.Add(file)...)
	}
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return all, nil
}
