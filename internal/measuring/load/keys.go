package load

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// Keys holds the callers' keys by customer id.
type Keys map[string]string

// ReadKeys reads a file with one customer id and one key a line.
func ReadKeys(file string) (Keys, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, fault.New("read keys", "", err)
	}
	defer func() { _ = opened.Close() }()
	keys := make(Keys)
	scanner := bufio.NewScanner(opened)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 {
			return nil, fault.New("read keys", "", fmt.Errorf("%s:%d: expected a customer id and a key", file, line))
		}
		keys[fields[0]] = fields[1]
	}
	return keys, fault.New("read keys", "", scanner.Err())
}
