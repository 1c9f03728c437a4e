package main

import "fmt"

// doubleSlash sends requests whose path begins with two slashes on a route with the prefix "/".
func doubleSlash(f *fleet) ([]string, error) {
	const (
		site     = "salidas.example"
		requests = 20
	)
	routes := map[string]any{"r-reservas": route(site, "/", "reservas", "non_idempotent")}
	if _, err := f.configure(1, []string{"reservas", "catalogo"}, routes, map[string]any{"escuela": tenant(0, 0, "key")}); err != nil {
		return nil, err
	}
	entry, err := f.add("sidecar-1", "catalogo")
	if err != nil {
		return nil, err
	}
	serving, err := f.add("sidecar-2", "reservas")
	if err != nil {
		return nil, err
	}
	if err := f.start(entry, serving); err != nil {
		return nil, err
	}
	f.at(4)
	uri := "/lepu270/2f"
	if f.trouble {
		uri = "//lepu270/2f"
	}
	for range requests {
		f.send(entry, "POST", site, uri, "key", callerDeadline)
		f.send(serving, "POST", site, uri, "key", callerDeadline)
	}
	var breaches []string
	for _, run := range serving.target.allRuns() {
		if run.uri != uri {
			breaches = append(breaches, fmt.Sprintf("UNASKED: request %s was sent with the path %s and run with %s", run.id, uri, run.uri))
		}
	}
	return breaches, nil
}
