package registration

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// keyPrefix is the prefix of the keys of all registration rows.
	keyPrefix = "owner/"
	// pageSize limits the rows that one call of Changes reads from the platform at a time.
	pageSize = 1000
)

// ErrSuperseded is returned when a process with a higher incarnation is registered for the slot.
var ErrSuperseded = errors.New("a newer process holds the host slot")

// Registrar reads and writes registrations. It is safe for concurrent use.
type Registrar struct {
	table platform.Table
}

// New returns a registrar over the platform's table.
func New(table platform.Table) *Registrar {
	return &Registrar{table: table}
}

// Register raises the slot's epoch and returns the new registration. If the
// process is already registered, it returns the existing registration.
// Errors are of type *fault.Error. The call may be repeated after any of them
// except ErrSuperseded.
func (r *Registrar) Register(ctx context.Context, own Owner) (Owner, error) {
	key := keyPrefix + string(own.Host)
	rows, err := r.table.Get(ctx, []string{key})
	if err != nil {
		return Owner{}, fault.New("read registration", "", err)
	}
	row := rows.Rows[0]
	previous := Owner{}
	condition := platform.Condition{Key: key}
	if row.Exists() {
		if previous, err = decode(row.Value); err != nil {
			return Owner{}, fault.New("decode registration", "", err)
		}
		condition.Revision = row.Revision
	}
	if previous.Incarnation == own.Incarnation {
		return previous, nil
	}
	if previous.Incarnation > own.Incarnation {
		return Owner{}, fault.New("register", "", ErrSuperseded)
	}
	own.Epoch = previous.Epoch + 1
	return own, r.commit(ctx, condition, own)
}

// commit writes a registration if the condition on its row holds.
func (r *Registrar) commit(ctx context.Context, condition platform.Condition, own Owner) error {
	value, err := own.encode()
	if err != nil {
		return fault.New("encode registration", "", err)
	}
	_, err = r.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{condition},
		Puts:       []platform.Put{{Key: condition.Key, Value: value}},
	})
	return fault.New("commit registration", "", err)
}

// Changes returns the registrations that changed after the platform revision
// since, and the revision up to which it has read. Errors are of type *fault.Error.
func (r *Registrar) Changes(ctx context.Context, since platform.Revision) ([]Owner, platform.Revision, error) {
	var owners []Owner
	for {
		rows, err := r.table.Changes(ctx, keyPrefix, since, pageSize)
		if err != nil {
			return nil, 0, fault.New("read registrations", "", err)
		}
		for _, row := range rows.Rows {
			if !row.Exists() {
				continue
			}
			owner, err := decode(row.Value)
			if err != nil {
				return nil, 0, fault.New("decode registration", row.Key, err)
			}
			owners = append(owners, owner)
		}
		since = rows.Through
		if !rows.More {
			return owners, since, nil
		}
	}
}
