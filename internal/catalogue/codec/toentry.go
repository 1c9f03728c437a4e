package codec

import (
	"time"
	"unique"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// ToEntry converts an entry from its protobuf form and validates it.
// Error: *DecodeError.
func ToEntry(message *rpc.Entry) (catalogue.Entry, error) {
	entry, err := ToUncheckedEntry(message)
	if err != nil {
		return nil, err
	}
	if problems := catalogue.Validate(entry); len(problems) > 0 {
		return nil, &DecodeError{What: "entry", Reason: problems[0].Error()}
	}
	return entry, nil
}

// ToUncheckedEntry converts an entry without validating it; the caller does.
// Error: *DecodeError.
func ToUncheckedEntry(message *rpc.Entry) (catalogue.Entry, error) {
	meta := catalogue.Meta{
		Owner:    intern(message.GetMeta().GetOwner()),
		Class:    intern(message.GetMeta().GetClass()),
		Revision: catalogue.Revision(message.GetMeta().GetRevision()),
		Created:  catalogue.Revision(message.GetMeta().GetCreated()),
	}
	switch kind := message.GetKind().(type) {
	case *rpc.Entry_Host:
		return &catalogue.Host{
			Meta: meta, ID: id.HostID(kind.Host.GetId()),
			FailureDomain: intern(id.FailureDomain(kind.Host.GetFailureDomain())),
		}, nil
	case *rpc.Entry_Service:
		return toService(meta, kind.Service), nil
	case *rpc.Entry_Route:
		return toRoute(meta, kind.Route), nil
	case *rpc.Entry_Customer:
		return &catalogue.Customer{
			Meta: meta, ID: intern(id.CustomerID(kind.Customer.GetId())),
			RatePerSecond: kind.Customer.GetRatePerSecond(),
			Burst:         int(kind.Customer.GetBurst()),
			Weight:        int(kind.Customer.GetWeight()),
		}, nil
	case *rpc.Entry_Key:
		return toKey(meta, kind.Key)
	default:
		return nil, &DecodeError{What: "entry", Reason: "has no known kind"}
	}
}

// toService converts a service.
func toService(meta catalogue.Meta, s *rpc.Service) *catalogue.Service {
	return &catalogue.Service{
		Meta: meta, Name: intern(id.ServiceName(s.GetName())),
		MinHealthyFraction:    s.GetMinHealthyFraction(),
		QueueLimit:            int(s.GetQueueLimit()),
		QueueLimitPerCustomer: int(s.GetQueueLimitPerCustomer()),
		RequestTimeout:        milliseconds(s.GetRequestTimeoutMs()),
		ProgressTimeout:       milliseconds(s.GetProgressTimeoutMs()),
		MaxBodyBytes:          int64(min(s.GetMaxBodyBytes(), catalogue.MaxBodyBytesLimit+1)),
	}
}

// toRoute converts a route.
func toRoute(meta catalogue.Meta, r *rpc.Route) *catalogue.Route {
	route := &catalogue.Route{
		Meta: meta, ID: id.RouteID(r.GetId()),
		Service:    intern(id.ServiceName(r.GetService())),
		Host:       intern(r.GetHost()),
		PathPrefix: r.GetPathPrefix(),
		Idempotent: r.GetIdempotent(),
		OpenToAll:  r.GetOpenToAll(),
	}
	for _, m := range r.GetMethods() {
		route.Methods = append(route.Methods, intern(m))
	}
	for _, c := range r.GetCustomers() {
		route.Customers = append(route.Customers, intern(id.CustomerID(c)))
	}
	return route
}

// toKey converts a key.
func toKey(meta catalogue.Meta, k *rpc.Key) (catalogue.Entry, error) {
	key := &catalogue.Key{
		Meta: meta, ID: catalogue.KeyID(k.GetId()),
		Customer: intern(id.CustomerID(k.GetCustomer())),
		Revoked:  k.GetRevoked(),
	}
	if copy(key.Hash[:], k.GetHash()) != len(key.Hash) || len(k.GetHash()) != len(key.Hash) {
		return nil, &DecodeError{What: "key", Reason: "hash has the wrong length"}
	}
	return key, nil
}

// milliseconds converts a duration. Too large values are clamped to 1 ms above
// the longest valid timeout, which avoids an overflow and still fails validation.
func milliseconds(ms uint64) time.Duration {
	limit := uint64(catalogue.MaxRequestTimeout/time.Millisecond) + 1
	return time.Duration(min(ms, limit)) * time.Millisecond
}

// intern returns the canonical copy of a string, which all entries with the same
// value share.
func intern[S ~string](s S) S {
	return unique.Make(s).Value()
}
