package permits

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Tenure identifies the time for which this process is the permit home of a service without a break.
type Tenure struct {
	// Epoch is the epoch of the slot that the duty belongs to.
	Epoch id.Epoch
	// Term counts the times that the duty came to this process within the epoch, for example after roster changes.
	Term uint64
	// First says that the duty certainly had no earlier holder, so that no old permit can exist.
	First bool
}

// Duty confirms that this daemon may act as a service's permit home now.
type Duty interface {
	// Confirmed returns the present tenure, and false when the duty is elsewhere, fenced or not confirmed.
	Confirmed(service id.ServiceName, now clock.Time) (Tenure, bool)
}

// Placement finds the permit homes.
type Placement interface {
	// Home returns the control address (host:port) of a service's permit home, and false when it is unknown.
	Home(service id.ServiceName) (address string, ok bool)
}

// Services tells what the home needs to know about a service.
type Services interface {
	// Size returns the number of the service's targets that serve, are ejected or on trial on
	// hosts that are not suspected here, and the floor as the part that must stay in service.
	Size(service id.ServiceName) (n int, floor float64)
}
