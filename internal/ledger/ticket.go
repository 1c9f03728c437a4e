package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// ticketPrefix distinguishes tickets from keys that callers choose; the digit is the format version.
	ticketPrefix = "blt1_"
	// randomBytes is the length of a ticket's random part.
	randomBytes = 16
	// secretBytes is the length of an epoch's secret.
	secretBytes = 32
	// maxNameBytes bounds a host or customer name inside a ticket.
	maxNameBytes = 128
	// maxTicketChars bounds the text that Parse decodes.
	maxTicketChars = 512
)

// Errors of the ticket's text form.
var (
	ErrTicket      = errors.New("ticket is malformed")
	ErrNameTooLong = errors.New("host or customer name is too long for a ticket")
)

// ticketEncoding is strict: it rejects text whose trailing unused bits are set, so that each ticket
// has only one text form.
var ticketEncoding = base64.RawURLEncoding.Strict()

// Random is the random part of a ticket, which identifies the ticket within its epoch.
type Random [randomBytes]byte

// Secret is the HMAC key of the tickets of one epoch.
type Secret [secretBytes]byte

// Ticket is a decoded ticket. Its MAC can be checked only with the secret of the epoch.
type Ticket struct {
	Host     id.HostID
	Epoch    id.Epoch
	Customer id.CustomerID
	// Issued is the ledger time of issue, in whole milliseconds.
	Issued clock.Time
	Random Random

	body []byte
	mac  [sha256.Size]byte
}

// IsTicket reports whether an idempotency key has the form of a ticket.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// Parse decodes a ticket's text form without checking its MAC.
func Parse(text string) (Ticket, error) {
	if !IsTicket(text) || len(text) > maxTicketChars {
		return Ticket{}, ErrTicket
	}
	raw, err := ticketEncoding.DecodeString(text[len(ticketPrefix):])
	if err != nil || len(raw) < sha256.Size {
		return Ticket{}, ErrTicket
	}
	var t Ticket
	t.body = raw[:len(raw)-sha256.Size]
	copy(t.mac[:], raw[len(t.body):])
	if !t.decodeBody() {
		return Ticket{}, ErrTicket
	}
	return t, nil
}

// decodeBody sets the exported fields from the body and reports whether it is well-formed.
func (t *Ticket) decodeBody() bool {
	r := ticketReader{rest: t.body}
	t.Epoch = id.Epoch(r.uvarint())
	t.Issued = clock.Time(time.Duration(r.uvarint()) * time.Millisecond)
	copy(t.Random[:], r.take(randomBytes))
	t.Host = id.HostID(r.name())
	t.Customer = id.CustomerID(r.name())
	return !r.failed && len(r.rest) == 0 && t.Issued >= 0
}

// newTicketText encodes and signs a ticket.
func newTicketText(secret *Secret, t Ticket) (string, error) {
	if len(t.Host) > maxNameBytes || len(t.Customer) > maxNameBytes {
		return "", ErrNameTooLong
	}
	var b []byte
	b = binary.AppendUvarint(b, uint64(t.Epoch))
	b = binary.AppendUvarint(b, uint64(t.Issued.Milliseconds()))
	b = append(b, t.Random[:]...)
	b = appendName(b, string(t.Host))
	b = appendName(b, string(t.Customer))
	sum := signBody(secret, b)
	b = append(b, sum[:]...)
	return ticketPrefix + ticketEncoding.EncodeToString(b), nil
}

// verify reports whether the MAC is valid; it compares in constant time.
func (t *Ticket) verify(secret *Secret) bool {
	want := signBody(secret, t.body)
	return hmac.Equal(want[:], t.mac[:])
}

// signBody returns the HMAC-SHA-256 of a ticket body.
func signBody(secret *Secret, body []byte) [sha256.Size]byte {
	var sum [sha256.Size]byte
	h := hmac.New(sha256.New, secret[:])
	h.Write(body)
	h.Sum(sum[:0])
	return sum
}

// appendName appends a length-prefixed name.
func appendName(b []byte, name string) []byte {
	b = binary.AppendUvarint(b, uint64(len(name)))
	return append(b, name...)
}
