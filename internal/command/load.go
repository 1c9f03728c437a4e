package command

import (
	"errors"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// loadFiles reads and merges catalogue files. It returns catalogue.FileErrors with
// the errors of all files, or *InputError if a file cannot be read.
func loadFiles(names []string) (*catalogue.File, error) {
	merged := &catalogue.File{}
	var fileErrs catalogue.FileErrors
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, &InputError{Err: fault.New("read catalogue file", name, err)}
		}
		file, err := catalogue.Load(name, data)
		var found catalogue.FileErrors
		if errors.As(err, &found) {
			fileErrs = append(fileErrs, found...)
			continue
		}
		fileErrs = append(fileErrs, merged.Add(file)...)
	}
	if len(fileErrs) > 0 {
		return nil, fileErrs
	}
	return merged, nil
}
