package catalogue

import (
	"github.com/pelletier/go-toml/v2"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// renderedMeta holds the keys that the TOML form of every entry has.
type renderedMeta struct {
	Owner    string   `toml:"owner"`
	Class    string   `toml:"class"`
	Revision Revision `toml:"revision,omitempty"`
}

type renderedHost struct {
	ID id.HostID `toml:"id"`
	renderedMeta
	FailureDomain id.FailureDomain `toml:"failure_domain"`
}

type renderedService struct {
	Name id.ServiceName `toml:"name"`
	renderedMeta
	MinHealthyFraction    float64 `toml:"min_healthy_fraction"`
	QueueLimit            int     `toml:"queue_limit"`
	QueueLimitPerCustomer int     `toml:"queue_limit_per_customer"`
	RequestTimeout        string  `toml:"request_timeout"`
	ProgressTimeout       string  `toml:"progress_timeout"`
	MaxBodyBytes          int64   `toml:"max_body_bytes"`
}

type renderedCustomer struct {
	ID id.CustomerID `toml:"id"`
	renderedMeta
	RatePerSecond float64 `toml:"rate_per_second"`
	Burst         int     `toml:"burst"`
	Weight        int     `toml:"weight"`
}

type renderedRoute struct {
	ID id.RouteID `toml:"id"`
	renderedMeta
	Service    id.ServiceName  `toml:"service"`
	Host       string          `toml:"host,omitempty"`
	PathPrefix string          `toml:"path_prefix"`
	Methods    []string        `toml:"methods,omitempty"`
	Idempotent bool            `toml:"idempotent"`
	OpenToAll  bool            `toml:"open_to_all"`
	Customers  []id.CustomerID `toml:"customers,omitempty"`
}

// renderedFile is the TOML form of a catalogue file.
type renderedFile struct {
	Hosts     []renderedHost     `toml:"host,omitempty"`
	Services  []renderedService  `toml:"service,omitempty"`
	Customers []renderedCustomer `toml:"customer,omitempty"`
	Routes    []renderedRoute    `toml:"route,omitempty"`
}

// Render returns the entries, with their revisions, in the TOML form that Load
// reads. API keys have no TOML form and are omitted.
func Render(entries []Entry) ([]byte, error) {
	var file renderedFile
	for _, entry := range entries {
		file.add(entry)
	}
	return toml.Marshal(file)
}

// add appends the TOML form of one entry.
func (f *renderedFile) add(entry Entry) {
	common := entry.Common()
	meta := renderedMeta{Owner: common.Owner, Class: common.Class, Revision: common.Revision}
	switch e := entry.(type) {
	case *Host:
		f.Hosts = append(f.Hosts, renderedHost{e.ID, meta, e.FailureDomain})
	case *Service:
		f.Services = append(f.Services, renderedService{
			e.Name, meta, e.MinHealthyFraction, e.QueueLimit, e.QueueLimitPerCustomer,
			e.RequestTimeout.String(), e.ProgressTimeout.String(), e.MaxBodyBytes,
		})
	case *Customer:
		f.Customers = append(f.Customers, renderedCustomer{e.ID, meta, e.RatePerSecond, e.Burst, e.Weight})
	case *Route:
		f.Routes = append(f.Routes, renderedRoute{
			e.ID, meta, e.Service, e.Host, e.PathPrefix, e.Methods, e.Idempotent, e.OpenToAll, e.Customers,
		})
	}
}
