package healthsim

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Deployment is a fleet with one target per host.
type Deployment struct {
	Name              string
	Services          []id.ServiceName
	TargetsPerService int
	Slots             int
	Domains           []id.FailureDomain
	// OneWay is the latency between failure domains; within one it is a quarter of that.
	OneWay time.Duration
	// ServiceTime is the mean time that a healthy target works on a request.
	ServiceTime time.Duration
	// Floor is the part of a service's targets that ejection must leave in service.
	Floor float64
	// Load is the part of all slots that the arriving work keeps busy.
	Load float64
}

// Chubut is the trail authority's deployment.
func Chubut() Deployment {
	return Deployment{
		Name:              "chubut",
		Services:          []id.ServiceName{"catalogo", "reservas", "guias"},
		TargetsPerService: 8,
		Slots:             5,
		Domains:           []id.FailureDomain{"trelew", "gaiman", "madryn", "rawson"},
		OneWay:            time.Millisecond,
		ServiceTime:       50 * time.Millisecond,
		Floor:             0.75,
		Load:              0.5,
	}
}

// Latvia is the test sheets' deployment.
func Latvia() Deployment {
	return Deployment{
		Name:              "latvia",
		Services:          []id.ServiceName{"archive", "filing", "inspection"},
		TargetsPerService: 6,
		Slots:             7,
		Domains:           []id.FailureDomain{"lv-riga", "lv-jelgava", "lv-valmiera"},
		OneWay:            1500 * time.Microsecond,
		ServiceTime:       50 * time.Millisecond,
		Floor:             0.75,
		Load:              0.5,
	}
}
