package daemon

import (
	"encoding/binary"
	"encoding/json"

	"buckthornlatch.example/buckthornlatch/internal/revocation"
)

// revocationRider carries the emergency revocations on every gossip exchange, so that a heartbeat
// is evidence of freshness only together with the revocations that its sender had.
type revocationRider struct {
	set *revocation.Set
}

// Name implements membership.Rider.
func (r *revocationRider) Name() string {
	return "revocations"
}

// Summary implements membership.Rider.
func (r *revocationRider) Summary() []byte {
	return digestBytes(r.set.Digest())
}

// Covers implements membership.Rider. Digests do not show whether one set contains another, so
// only an equal or empty set counts as covered.
func (r *revocationRider) Covers(summary []byte) bool {
	return string(summary) == string(digestBytes(r.set.Digest())) ||
		string(summary) == string(digestBytes(revocation.Digest{}))
}

// Delta implements membership.Rider. It sends the whole set, which is empty outside of outages.
func (r *revocationRider) Delta([]byte) ([]byte, error) {
	return json.Marshal(r.set.Records())
}

// Merge implements membership.Rider.
func (r *revocationRider) Merge(delta []byte) error {
	var records []revocation.Record
	if err := json.Unmarshal(delta, &records); err != nil {
		return err
	}
	_, err := r.set.Merge(records)
	return err
}

// digestBytes encodes a digest.
func digestBytes(d revocation.Digest) []byte {
	out := binary.BigEndian.AppendUint32(nil, d.Count)
	out = binary.BigEndian.AppendUint64(out, d.High)
	return binary.BigEndian.AppendUint64(out, d.Low)
}
