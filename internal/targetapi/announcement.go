package targetapi

import (
	"errors"
	"net"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// AnnouncePath is the URL path for announcements on the gate's local address.
	AnnouncePath = "/.buckthornlatch/v1/announce"
	// Period is the interval between the announcements of a target.
	Period = time.Second
	// Expiry is the time without an announcement after which the gate removes a target.
	Expiry = 5 * time.Second
	// MaxSlots is the largest number of slots that a target may announce.
	MaxSlots = 4096
	// MaxBytes is the largest size of an announcement's body, in bytes.
	MaxBytes = 4 << 10
	// HeaderGate is the response header with the identity of the gate's process, for Announcement.Gate.
	HeaderGate = "Bl-Gate"
	// maxNameBytes is the largest length of a target or service name, in bytes.
	maxNameBytes = 128
)

// Errors that Validate joins.
var (
	ErrName    = errors.New("name is empty, too long or has characters other than letters, digits, '.', '_' and '-'")
	ErrService = errors.New("service is empty, too long or has characters other than letters, digits, '.', '_' and '-'")
	ErrAddress = errors.New("address is not an IP address with a port")
	ErrSlots   = errors.New("slots is not between 1 and 4096")
	ErrState   = errors.New("state is not starting, serving, draining or leaving")
)

// Announcement registers a target with the gate, or renews its registration, and carries its state.
type Announcement struct {
	// Name is unique among the targets of a host and stays the same across restarts.
	Name    string         `json:"name"`
	Service id.ServiceName `json:"service"`
	// Address is the "ip:port" on which the target serves HTTP.
	Address string `json:"address"`
	// Slots is the number of requests that the target can run concurrently.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Instance identifies the target's process; a new value means that the target restarted. Optional.
	Instance string `json:"instance,omitempty"`
	// Gate is the value of HeaderGate in the latest response. It shows that the announcement is not one that was held back since
	// before the gate's process started. Optional: without it, the target is used only after several announcements.
	Gate string `json:"gate,omitempty"`
}

// Error is the response body for a rejected announcement.
type Error struct {
	Error string `json:"error"`
}

// Validate checks all fields and returns their errors joined, or nil.
func (a Announcement) Validate() error {
	var errs []error
	if !validName(a.Name) {
		errs = append(errs, ErrName)
	}
	if !validName(string(a.Service)) {
		errs = append(errs, ErrService)
	}
	if !validAddress(a.Address) {
		errs = append(errs, ErrAddress)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		errs = append(errs, ErrSlots)
	}
	if !a.State.valid() {
		errs = append(errs, ErrState)
	}
	return errors.Join(errs...)
}

// validAddress reports whether s is an IP address with a port.
func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

// validName reports whether s is a valid name. Valid names need no escaping in headers and logs.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

// isNameByte reports whether c is allowed in names.
func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-'
}
