package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/admin"
	"buckthornlatch.example/buckthornlatch/internal/audit"
)

// provisionAdmin builds the administration API.
func (d *Daemon) provisionAdmin() {
	editor := admin.NewEditor(d.store, d.syncer, time.Now)
	d.admin = admin.NewService(editor, audit.New(d.store), d.revoked, rand.Reader)
	d.flusher = admin.NewFlusher(editor, d.revoked, d.log)
}

// credentials returns the credentials of the operators in the settings.
func (d *Daemon) credentials() admin.Credentials {
	var out admin.Credentials
	for _, operator := range d.settings.Operators {
		var hash admin.TokenHash
		// The settings were validated, so that the hash has the right length and only hexadecimal
		// digits.
		_, _ = hex.Decode(hash[:], []byte(operator.TokenHash))
		out = append(out, admin.Credential{
			Operator:  admin.Operator{Name: operator.Name, Groups: operator.Groups},
			TokenHash: hash,
		})
	}
	return out
}
