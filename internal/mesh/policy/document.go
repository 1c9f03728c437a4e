package policy

// Document is a decoded configuration before validation.
type Document struct {
	Version   Version
	Routes    []Route
	Services  []string
	Customers []Customer
	Bounds    Bounds
	// Raw is the configuration as the operator wrote it; daemons hand it to each other.
	Raw []byte
}
