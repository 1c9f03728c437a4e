package policy

// Document is a decoded configuration before validation.
type Document struct {
	Version   Version
	Routes    []Route
	Services  []string
	Customers []Customer
	Bounds    Bounds
	// Raw is the configuration as the operator wrote it. Daemons send it to each other.
	Raw []byte
}
