package permits

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Tenure identifies an uninterrupted period in which this process is the permit home of a service.
type Tenure struct {
	// Epoch is the epoch of the slot that the duty belongs to.
	Epoch id.Epoch
	// Term distinguishes the tenures within one epoch, for example before and after a roster change.
	Term uint64
	// First reports that the duty had no earlier holder, so that no earlier permit can exist.
	First bool
}

// Duty decides whether this daemon may act as a service's permit home.
type Duty interface {
	// Confirmed returns the current tenure, or false if the duty is placed on another host, still
	// fenced or not confirmed.
	Confirmed(service id.ServiceName, now clock.Time) (Tenure, bool)
}

// Placement finds the permit homes.
type Placement interface {
	// Home returns the control address (host:port) of a service's permit home, or false if it is unknown.
	Home(service id.ServiceName) (address string, ok bool)
}

// Services provides the size of a service and its floor.
type Services interface {
	// Size returns the number of the service's targets that are serving, ejected or on trial on
	// hosts that this daemon does not suspect, and the floor: the fraction of them that must stay
	// in service.
	Size(service id.ServiceName) (n int, floor float64)
}
