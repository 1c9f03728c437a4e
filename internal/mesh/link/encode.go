package link

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

const (
	// HeaderAttempt marks a request as an attempt and carries its fields, separated by spaces. One header takes fewer
	// bytes between failure domains than one header per field.
	HeaderAttempt = "Bl-Attempt"
	// HeaderResult carries the fields of a result.
	HeaderResult = "Bl-Result"
	// headerURI carries the URI of an attempt that begins with two slashes.
	headerURI = "Bl-Uri"
)

const (
	attemptFields = 11
	resultFields  = 7
	// emptyField stands for an empty field.
	emptyField = "-"
)

// ErrMalformed reports an invalid header, which may come from another version of the daemon.
var ErrMalformed = errors.New("malformed attempt or result header")

// Flags of an attempt.
const (
	flagIdempotent = 'i'
	flagRepeat     = 'r'
	flagForced     = 'f'
	flagNested     = 'n'
	// The flags end with the customer's work, in units of workUnit, as a decimal number whose digits are the letters from workZero
	// on, which are no flags. The previous version ignores flags that it does not know, but refuses a message with a further field.
	workZero = 'A'
	workBase = 10
	workUnit = 100 * time.Millisecond
)

// Encode writes the attempt's fields into a header.
func (a *Attempt) Encode(header http.Header) {
	flags := []byte{'.'}
	for _, f := range []struct {
		set  bool
		flag byte
	}{{a.Idempotent, flagIdempotent}, {a.Repeat, flagRepeat}, {a.Forced, flagForced}, {a.Nested, flagNested}} {
		if f.set {
			flags = append(flags, f.flag)
		}
	}
	if units := int64(a.CustomerWork / workUnit); units > 0 {
		for _, digit := range strconv.FormatInt(units, workBase) {
			flags = append(flags, byte(digit-'0'+workZero))
		}
	}
	header[HeaderAttempt] = []string{strings.Join([]string{
		encodeName(string(a.Service)), encodeName(string(a.Caller)), encodeName(string(a.Route)), encodeName(string(a.Customer)),
		strconv.Itoa(a.Rank), string(flags), formatMillis(a.Remaining), formatMillis(a.Objective), formatMillis(a.MaxQueueWait),
		strconv.FormatUint(uint64(a.Policy), 16), formatMillis(a.OverdueAfter),
	}, " ")}
}

// DecodeAttempt reads an attempt from a request and removes its own headers from it.
func DecodeAttempt(r *http.Request) (*Attempt, error) {
	fields := strings.Fields(r.Header.Get(HeaderAttempt))
	delete(r.Header, HeaderAttempt)
	uri := r.RequestURI
	if values := r.Header[headerURI]; len(values) == 1 {
		uri = values[0]
	}
	delete(r.Header, headerURI)
	if len(fields) != attemptFields {
		return nil, ErrMalformed
	}
	p := parser{}
	a := &Attempt{
		Service: id.ServiceName(decodeName(fields[0])), Caller: id.ServiceName(decodeName(fields[1])),
		Route: id.RouteID(decodeName(fields[2])), Customer: id.CustomerID(decodeName(fields[3])),
		Rank:       int(p.number(fields[4], 10)),
		Idempotent: strings.IndexByte(fields[5], flagIdempotent) >= 0,
		Repeat:     strings.IndexByte(fields[5], flagRepeat) >= 0,
		Forced:     strings.IndexByte(fields[5], flagForced) >= 0,
		Nested:     strings.IndexByte(fields[5], flagNested) >= 0,
		Remaining:  p.millis(fields[6]), Objective: p.millis(fields[7]), MaxQueueWait: p.millis(fields[8]),
		Policy: policy.Version(p.number(fields[9], 16)), OverdueAfter: p.millis(fields[10]),
		Method: r.Method, URI: uri, Host: r.Host, Header: r.Header,
		Body: &Body{Length: r.ContentLength},
	}
	a.CustomerWork = p.work(fields[5])
	if r.Body != nil && r.ContentLength != 0 {
		a.Body.Rest, a.BodyHeld = r.Body, true
	}
	return a, p.err
}

// Encode writes the result's fields into a header.
func (r *Result) Encode(header http.Header) {
	load := []string{emptyField, emptyField, emptyField}
	if r.LoadKnown {
		load = []string{strconv.Itoa(r.Load.InUse), strconv.Itoa(r.Load.Waiting), strconv.Itoa(r.Load.Slots)}
	}
	header[HeaderResult] = []string{strings.Join([]string{
		string(r.Verdict), encodeName(string(r.Reason)), formatMillis(r.RetryAfter), load[0], load[1], load[2],
		strconv.FormatUint(uint64(r.Policy), 16),
	}, " ")}
}

// decodeResult reads a result's fields and removes HeaderResult.
func decodeResult(header http.Header) (*Result, error) {
	fields := strings.Fields(header.Get(HeaderResult))
	delete(header, HeaderResult)
	if len(fields) != resultFields {
		return nil, ErrMalformed
	}
	p := parser{}
	r := &Result{
		Verdict: hop.Verdict(fields[0]), Reason: Reason(decodeName(fields[1])), RetryAfter: p.millis(fields[2]),
		Policy: policy.Version(p.number(fields[6], 16)),
	}
	if fields[3] != emptyField {
		r.LoadKnown = true
		r.Load = choose.Load{
			InUse: int(p.number(fields[3], 10)), Waiting: int(p.number(fields[4], 10)), Slots: int(p.number(fields[5], 10)),
		}
	}
	switch r.Verdict {
	case hop.NotRun, hop.Ran, hop.Unknown:
	default:
		return nil, ErrMalformed
	}
	return r, p.err
}

// parser parses fields and keeps the first error.
type parser struct {
	err error
}

// number parses a non-negative integer.
func (p *parser) number(s string, base int) uint64 {
	n, err := strconv.ParseUint(s, base, 63)
	if err != nil && p.err == nil {
		p.err = ErrMalformed
	}
	return n
}

// maxMillis is the longest duration that a time.Duration holds, in milliseconds.
const maxMillis = uint64(math.MaxInt64 / time.Millisecond)

// millis parses a duration in milliseconds.
func (p *parser) millis(s string) time.Duration {
	n := p.number(s, 10)
	if n > maxMillis && p.err == nil {
		p.err = ErrMalformed
	}
	return time.Duration(n) * time.Millisecond
}

// work parses the customer's work among the flags.
func (p *parser) work(flags string) time.Duration {
	digits := strings.Map(func(r rune) rune {
		if r < workZero || r >= workZero+workBase {
			return -1
		}
		return r - workZero + '0'
	}, flags)
	if digits == "" {
		return 0
	}
	n := p.number(digits, workBase)
	if n > uint64(math.MaxInt64/workUnit) && p.err == nil {
		p.err = ErrMalformed
	}
	return time.Duration(n) * workUnit
}

// formatMillis formats a duration in milliseconds; a negative one becomes zero.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// encodeName replaces an empty name, because fields are separated by spaces and must not be empty.
func encodeName(s string) string {
	if s == "" {
		return emptyField
	}
	return s
}

// decodeName is the inverse of encodeName.
func decodeName(s string) string {
	if s == emptyField {
		return ""
	}
	return s
}
