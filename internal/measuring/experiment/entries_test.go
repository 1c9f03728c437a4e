package experiment_test

import (
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// smallCatalogue has four hosts in two failure domains, one service with a
// route for look-ups and one for bookings, and two customers.
func smallCatalogue() []catalogue.Entry {
	meta := catalogue.Meta{Owner: "senderos", Class: "standard"}
	entries := []catalogue.Entry{
		&catalogue.Service{
			Meta: meta, Name: "reservas", MinHealthyFraction: 0.5, QueueLimit: 64, QueueLimitPerCustomer: 32,
			RequestTimeout: 5 * time.Second, ProgressTimeout: 2 * time.Second, MaxBodyBytes: 1 << 20,
		},
		&catalogue.Route{
			Meta: meta, ID: "look-up", Service: "reservas", PathPrefix: "/walks", Methods: []string{"GET"},
			Idempotent: true, OpenToAll: true,
		},
		&catalogue.Route{
			Meta: meta, ID: "book", Service: "reservas", PathPrefix: "/bookings", Methods: []string{"POST"}, OpenToAll: true,
		},
		&catalogue.Customer{Meta: meta, ID: "museo", RatePerSecond: 200, Burst: 200, Weight: 1},
		&catalogue.Customer{Meta: meta, ID: "escuela", RatePerSecond: 20, Burst: 20, Weight: 1},
	}
	for i := range 4 {
		entries = append(entries, &catalogue.Host{
			Meta: meta, ID: id.HostID(fmt.Sprintf("host-%d", i+1)), FailureDomain: id.FailureDomain(fmt.Sprintf("fd-%d", i/2+1)),
		})
	}
	return entries
}
