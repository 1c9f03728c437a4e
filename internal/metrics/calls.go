package metrics

import (
	"net/http"
	"strings"
)

// controlServices are the services of control calls, as named in their twirp paths.
var controlServices = []string{"catalogue", "gossip", "grants", "handover", "ledger", "permits"}

// Calls counts control calls by service and result.
type Calls struct {
	services map[string]Family
	other    Family
}

// newCalls creates the counters of all control services and of Other.
func newCalls(scope Scope) Calls {
	c := Calls{services: make(map[string]Family)}
	create := func(service string) Family {
		return newFamily(scope, "control_calls_total", "result", []string{OK, Failed}, Label{"service", service})
	}
	for _, service := range controlServices {
		c.services[service] = create(service)
	}
	c.other = create(Other)
	return c
}

// Transport returns a round tripper that counts the control calls that it passes to next.
func (c Calls) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, family: func(path string) Family {
		if family, ok := c.services[serviceOf(path)]; ok {
			return family
		}
		return c.other
	}}
}

// serviceOf returns <part> of a path /twirp/buckthornlatch.<part>.<Service>/<Method>.
func serviceOf(path string) string {
	_, rest, _ := strings.Cut(path, "/twirp/buckthornlatch.")
	part, _, _ := strings.Cut(rest, ".")
	return part
}

// PlatformTransport returns a round tripper that counts the platform calls that it passes to next.
func (s *Set) PlatformTransport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, family: func(path string) Family {
		switch path[strings.LastIndexByte(path, '/')+1:] {
		case "Commit", "PutObject":
			return s.PlatformWrites
		}
		return s.PlatformReads
	}}
}

// transport counts round trips by result.
type transport struct {
	next   http.RoundTripper
	family func(path string) Family
}

// RoundTrip implements http.RoundTripper. As in twirp, any status other than 200 is a failure.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	result := OK
	if err != nil || response.StatusCode != http.StatusOK {
		result = Failed
	}
	t.family(r.URL.Path).Inc(result)
	return response, err
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the wrapped transport.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
