package id

import "fmt"

// TargetID identifies one announced target: the host that it runs on and its name there.
type TargetID struct {
	Host HostID
	Name string
}

// String returns the form "host/name".
func (t TargetID) String() string {
	return fmt.Sprintf("%s/%s", t.Host, t.Name)
}
