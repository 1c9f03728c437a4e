package catalogue

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Service describes a group of interchangeable targets and its limits.
type Service struct {
	Meta
	Name id.ServiceName
	// MinHealthyFraction is the fraction of the announced targets, between 0 and 1,
	// that outlier ejection must leave in service.
	MinHealthyFraction float64
	// QueueLimit bounds the requests queued at one gate for this service.
	QueueLimit int
	// QueueLimitPerCustomer bounds the queued requests of one customer at one gate.
	QueueLimitPerCustomer int
	// RequestTimeout is the longest time that a request may take, and the
	// default when the caller states none.
	RequestTimeout time.Duration
	// ProgressTimeout is the longest time without a byte from the target.
	ProgressTimeout time.Duration
	// MaxBodyBytes bounds a request body in bytes.
	MaxBodyBytes int64
}
