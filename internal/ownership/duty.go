package ownership

// DutyKind is the kind of work that a duty consists of.
type DutyKind uint8

const (
	// RateHome holds a share of a customer's rate limit; the duty's name is the customer.
	RateHome DutyKind = iota + 1
	// PermitHome grants a service's ejection permits; the duty's name is the service.
	PermitHome
)

// Duty is work that at most one process may perform at a time for each of its homes.
type Duty struct {
	Kind DutyKind
	Name string
}
