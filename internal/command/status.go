package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// Status shows the state of one daemon.
type Status struct {
	Admin  string `arg:"--admin,env:BUCKTHORNLATCH_ADMIN,required" placeholder:"URL" help:"admin address of the daemon"`
	CAFile string `arg:"--ca-file,env:BUCKTHORNLATCH_CA_FILE" placeholder:"FILE" help:"certificate authority of the daemons; default: the system's"`
}

// Run prints the daemon's state as JSON.
func (c *Status) Run(ctx context.Context, stdout io.Writer) error {
	url := strings.TrimSuffix(c.Admin, "/") + "/status"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &InputError{Err: err}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if err := setRootCAs(transport, c.CAFile); err != nil {
		return err
	}
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fault.New("read status", c.Admin, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.New("read status", c.Admin, fmt.Errorf("status %s", response.Status))
	}
	_, err = io.Copy(stdout, response.Body)
	return fault.New("read status", c.Admin, err)
}
