package callerconn

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// identity tells the requests of one connection apart.
type identity struct {
	method, uri, host string
	// header is the sum of the hashes of all header values, which does not depend on their order.
	header uint64
}

// identityOf returns the identity of a request.
func identityOf(r *http.Request) identity {
	i := identity{method: r.Method, uri: r.RequestURI, host: r.Host}
	for name, values := range r.Header {
		for _, value := range values {
			i.header += xxhash.Sum64String(name + ":" + value)
		}
	}
	return i
}
