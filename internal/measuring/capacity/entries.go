package capacity

import (
	"crypto/sha256"
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// hostName returns the name of the n-th host.
func hostName(n int) id.HostID {
	return id.HostID(fmt.Sprintf("host-%04d", n))
}

// domainName returns the failure domain of the n-th host.
func domainName(n int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("domain-%d", n%failureDomains))
}

// serviceName returns the name of the n-th service.
func serviceName(n int) id.ServiceName {
	return id.ServiceName(fmt.Sprintf("service-%03d", n))
}

// customerName returns the id of the n-th customer.
func customerName(n int) id.CustomerID {
	return id.CustomerID(fmt.Sprintf("customer-%05d", n))
}

// entries returns the catalogue of a size.
func entries(s Size) []catalogue.Entry {
	meta := catalogue.Meta{Owner: "operations", Class: "standard"}
	var all []catalogue.Entry
	for i := range s.Hosts {
		all = append(all, &catalogue.Host{Meta: meta, ID: hostName(i), FailureDomain: domainName(i)})
	}
	for i := range s.Services {
		all = append(all, &catalogue.Service{
			Meta: meta, Name: serviceName(i), MinHealthyFraction: 0.6,
			QueueLimit: 200, QueueLimitPerCustomer: 50,
			RequestTimeout: 10 * time.Second, ProgressTimeout: 5 * time.Second, MaxBodyBytes: 1 << 20,
		})
	}
	for i := range s.Customers {
		all = append(all, &catalogue.Customer{
			Meta: meta, ID: customerName(i), RatePerSecond: 5, Burst: 10, Weight: 1,
		})
	}
	for i := range s.Routes {
		all = append(all, &catalogue.Route{
			Meta: meta, ID: id.RouteID(fmt.Sprintf("route-%04d", i)), Service: serviceName(i % s.Services),
			PathPrefix: fmt.Sprintf("/area-%d/resource-%04d", i%100, i), Idempotent: i%4 != 0, OpenToAll: true,
		})
	}
	for i := range s.Keys {
		name := fmt.Sprintf("key-%020d", i)
		all = append(all, &catalogue.Key{
			Meta: meta, ID: catalogue.KeyID(name), Customer: customerName(i % s.Customers),
			Hash: sha256.Sum256([]byte(name)),
		})
	}
	return all
}
