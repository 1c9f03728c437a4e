// Package ratesim measures rate-limit policies and queue disciplines in a
// simulation without I/O. It drives the real decisions of packages ratelimit
// and fairqueue for many daemons on simulated time; all randomness comes from
// the scenario's seed, so that a run can be repeated exactly.
//
// A refusal counts as wrongful when one bucket with the customer's whole rate
// and burst, which sees every request of the fleet at once, would have admitted
// the request.
package ratesim
