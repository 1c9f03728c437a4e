package codec

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// FromEntry converts an entry to its protobuf form; nil stays nil.
func FromEntry(entry catalogue.Entry) *rpc.Entry {
	if entry == nil {
		return nil
	}
	meta := entry.Common()
	message := &rpc.Entry{Meta: &rpc.Meta{Owner: meta.Owner, Class: meta.Class, Revision: uint64(meta.Revision), Created: uint64(meta.Created)}}
	switch e := entry.(type) {
	case *catalogue.Host:
		message.Kind = &rpc.Entry_Host{Host: &rpc.Host{Id: string(e.ID), FailureDomain: string(e.FailureDomain)}}
	case *catalogue.Service:
		message.Kind = &rpc.Entry_Service{Service: fromService(e)}
	case *catalogue.Route:
		message.Kind = &rpc.Entry_Route{Route: fromRoute(e)}
	case *catalogue.Customer:
		message.Kind = &rpc.Entry_Customer{Customer: &rpc.Customer{
			Id: string(e.ID), RatePerSecond: e.RatePerSecond, Burst: uint32(e.Burst), Weight: uint32(e.Weight),
		}}
	case *catalogue.Key:
		message.Kind = &rpc.Entry_Key{Key: &rpc.Key{
			Id: string(e.ID), Customer: string(e.Customer), Hash: e.Hash[:], Revoked: e.Revoked,
		}}
	}
	return message
}

// fromService converts a service.
func fromService(s *catalogue.Service) *rpc.Service {
	return &rpc.Service{
		Name:                  string(s.Name),
		MinHealthyFraction:    s.MinHealthyFraction,
		QueueLimit:            uint32(s.QueueLimit),
		QueueLimitPerCustomer: uint32(s.QueueLimitPerCustomer),
		RequestTimeoutMs:      uint64(s.RequestTimeout.Milliseconds()),
		ProgressTimeoutMs:     uint64(s.ProgressTimeout.Milliseconds()),
		MaxBodyBytes:          uint64(s.MaxBodyBytes),
	}
}

// fromRoute converts a route.
func fromRoute(r *catalogue.Route) *rpc.Route {
	message := &rpc.Route{
		Id: string(r.ID), Service: string(r.Service), Host: r.Host, PathPrefix: r.PathPrefix,
		Methods: r.Methods, Idempotent: r.Idempotent, OpenToAll: r.OpenToAll,
	}
	for _, c := range r.Customers {
		message.Customers = append(message.Customers, string(c))
	}
	return message
}
