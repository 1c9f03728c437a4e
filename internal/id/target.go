package id

import "fmt"

// TargetID identifies an announced target by its host and its name on that host.
type TargetID struct {
	Host HostID
	Name string
}

// String returns the form "host/name".
func (t TargetID) String() string {
	return fmt.Sprintf("%s/%s", t.Host, t.Name)
}
