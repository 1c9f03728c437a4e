package command

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/measuring/capacity"
)

// MeasureSlopes fits lines through results of measure control.
type MeasureSlopes struct {
	File  string `arg:"positional,required" placeholder:"FILE" help:"results of measure control, one line of JSON each"`
	First int    `arg:"--first" help:"use only the first results; 0 for all"`
	JSON  string `arg:"--json" placeholder:"FILE" help:"append the fitted lines to this file, as one line of JSON"`
}

// Run prints the results and the fitted lines.
func (c *MeasureSlopes) Run(_ context.Context, stdout io.Writer) error {
	results, err := readResults(c.File)
	if err != nil {
		return err
	}
	if c.First > 0 {
		results = results[:min(c.First, len(results))]
	}
	if err := capacity.WriteControl(stdout, results); err != nil {
		return err
	}
	slopes := capacity.Slopes(results)
	if err := appendJSON(c.JSON, slopes); err != nil {
		return err
	}
	return capacity.WriteSlopes(stdout, slopes)
}

// readResults reads a result file with one JSON object per line.
func readResults(name string) ([]capacity.ControlResult, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, &InputError{Err: fault.New("read results", name, err)}
	}
	defer func() { _ = file.Close() }()
	var results []capacity.ControlResult
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var result capacity.ControlResult
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return nil, &InputError{Err: fault.New("decode results", name, err)}
		}
		results = append(results, result)
	}
	return results, nil
}
