package policy

import "buckthornlatch.example/buckthornlatch/internal/id"

// HealthPath returns the path of the health page of a service's targets, empty if there is none.
func (s *Snapshot) HealthPath(service id.ServiceName) string { return s.healthPaths[service] }
