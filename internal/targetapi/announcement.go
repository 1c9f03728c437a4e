package targetapi

import (
	"errors"
	"net"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// AnnouncePath receives announcements on the gate's local address.
	AnnouncePath = "/.buckthornlatch/v1/announce"
	// Period is the time between two announcements of a target.
	Period = time.Second
	// Expiry is the silence after which a target is forgotten.
	Expiry = 5 * time.Second
	// MaxSlots bounds the slots of one target.
	MaxSlots = 4096
	// MaxBytes bounds the size of an announcement in bytes.
	MaxBytes = 4 << 10
	// maxName bounds the length of names in bytes.
	maxName = 128
)

// Errors of Validate.
var (
	ErrName    = errors.New("name is empty, too long or has characters other than letters, digits, '.', '_' and '-'")
	ErrService = errors.New("service is empty, too long or has characters other than letters, digits, '.', '_' and '-'")
	ErrAddress = errors.New("address is not an IP address with a port")
	ErrSlots   = errors.New("slots is not between 1 and 4096")
	ErrState   = errors.New("state is not starting, serving, draining or leaving")
)

// Announcement is what a target says about itself.
type Announcement struct {
	// Name is unique among the targets of a host and stays the same across restarts.
	Name    string         `json:"name"`
	Service id.ServiceName `json:"service"`
	// Address is where the target serves HTTP, "ip:port".
	Address string `json:"address"`
	// Slots is the number of requests that the target runs at once.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Instance identifies the target's process; a change means a restart. Optional.
	Instance string `json:"instance,omitempty"`
}

// Error is the body of a rejected announcement.
type Error struct {
	Error string `json:"error"`
}

// Validate returns all errors of the announcement.
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

// validName reports whether s can be used in headers and logs as it is.
func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if !nameByte(s[i]) {
			return false
		}
	}
	return true
}

// nameByte reports whether c may occur in names.
func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-'
}
