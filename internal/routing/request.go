package routing

// Request is the part of an HTTP request that routes match on.
type Request struct {
	// Host is the Host header, with or without a port, in any case.
	Host   string
	Method string
	// Path is the escaped path, without the query.
	Path string
}
