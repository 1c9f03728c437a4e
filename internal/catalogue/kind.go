package catalogue

// Kind names the kind of a catalogue entry.
type Kind string

// The kinds of entries.
const (
	KindHost     Kind = "host"
	KindService  Kind = "service"
	KindRoute    Kind = "route"
	KindCustomer Kind = "customer"
	KindKey      Kind = "key"
)
