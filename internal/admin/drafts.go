package admin

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/apikey"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/id"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// invalid returns an *InvalidError with one problem.
func invalid(key, format string, args ...any) error {
	return &InvalidError{Problems: []catalogue.Problem{{Key: key, Reason: fmt.Sprintf(format, args...)}}}
}

// checkTexts checks the change id and the reason.
func checkTexts(changeID, why string) error {
	if changeID == "" || len(changeID) > maxChangeIDBytes {
		return invalid("change_id", "must have 1 to %d bytes", maxChangeIDBytes)
	}
	if len(why) > maxWhyBytes {
		return invalid("why", "has more than %d bytes", maxWhyBytes)
	}
	return nil
}

// draftOf validates and converts a request to apply a change.
func draftOf(operator Operator, request *rpc.ApplyRequest) (*draft, error) {
	if err := checkTexts(request.GetChangeId(), request.GetWhy()); err != nil {
		return nil, err
	}
	if n := len(request.GetEdits()); n == 0 || n > catalogue.MaxEdits {
		return nil, invalid("edits", "has %d edits, not 1 to %d", n, catalogue.MaxEdits)
	}
	d := &draft{
		operator: operator, id: catalogue.ChangeID(request.GetChangeId()), why: request.GetWhy(),
		fingerprint: applyFingerprint(request), dryRun: request.GetDryRun(),
	}
	seen := map[catalogue.Ref]bool{}
	for _, edit := range request.GetEdits() {
		in, err := editRequestOf(edit)
		if err != nil {
			return nil, err
		}
		if seen[in.ref] {
			return nil, invalid("edits", "%s is edited twice", in.ref)
		}
		seen[in.ref] = true
		d.edits = append(d.edits, in)
	}
	return d, nil
}

// editRequestOf validates and converts one edit.
func editRequestOf(edit *rpc.EntryEdit) (editRequest, error) {
	in := editRequest{
		ref:      catalogue.Ref{Kind: catalogue.Kind(edit.GetKind()), ID: edit.GetId()},
		expected: catalogue.Revision(edit.GetExpectedRevision()),
	}
	var entry catalogue.Entry
	if edit.GetEntry() != nil {
		var err error
		if entry, err = codec.ToUncheckedEntry(edit.GetEntry()); err != nil {
			return in, invalid("edits", "%s: %v", in.ref, err)
		}
		if entry.Ref() != in.ref {
			return in, invalid("edits", "%s names the entry %s", in.ref, entry.Ref())
		}
		entry = catalogue.WithRevision(entry, 0)
	}
	switch in.ref.Kind {
	case catalogue.KindHost, catalogue.KindService, catalogue.KindRoute, catalogue.KindCustomer:
	case catalogue.KindKey:
		return in, invalid("edits", "%s: keys are issued and revoked, not edited", in.ref)
	default:
		return in, invalid("edits", "%s has an unknown kind", in.ref)
	}
	if len(in.ref.ID) > catalogue.MaxNameLength {
		return in, invalid("edits", "an id is longer than %d bytes", catalogue.MaxNameLength)
	}
	in.build = func(catalogue.Entry, *catalogue.Snapshot) (catalogue.Entry, error) { return entry, nil }
	return in, nil
}

// issueDraft returns the change that creates a key.
func issueDraft(operator Operator, request *rpc.IssueKeyRequest, issued apikey.Issued) (*draft, error) {
	if err := checkTexts(request.GetChangeId(), request.GetWhy()); err != nil {
		return nil, err
	}
	customer := id.CustomerID(request.GetCustomer())
	key := catalogue.Key{ID: issued.ID, Customer: customer, Hash: issued.Hash}
	key.Class = cmp.Or(request.GetClass(), catalogue.DefaultClass)
	build := func(_ catalogue.Entry, s *catalogue.Snapshot) (catalogue.Entry, error) {
		owner := s.Customer(customer)
		if owner == nil {
			return nil, &NotFoundError{Ref: catalogue.Ref{Kind: catalogue.KindCustomer, ID: string(customer)}}
		}
		k := key
		k.Owner = owner.Owner
		return &k, nil
	}
	return &draft{
		operator: operator, id: catalogue.ChangeID(request.GetChangeId()), why: request.GetWhy(),
		fingerprint: fingerprintOf("issue", string(customer), key.Class),
		edits:       []editRequest{{ref: key.Ref(), build: build}},
	}, nil
}

// revokeDraft returns the change that revokes a key, regardless of its current revision.
func revokeDraft(operator Operator, request *rpc.RevokeKeyRequest) (*draft, error) {
	if err := checkTexts(request.GetChangeId(), request.GetWhy()); err != nil {
		return nil, err
	}
	ref := catalogue.Ref{Kind: catalogue.KindKey, ID: request.GetKeyId()}
	if ref.ID == "" || len(ref.ID) > catalogue.MaxNameLength {
		return nil, invalid("key_id", "must have 1 to %d bytes", catalogue.MaxNameLength)
	}
	build := func(current catalogue.Entry, _ *catalogue.Snapshot) (catalogue.Entry, error) {
		key, ok := current.(*catalogue.Key)
		if !ok {
			return nil, &NotFoundError{Ref: ref}
		}
		k := *key
		k.Revoked = true
		return &k, nil
	}
	return &draft{
		operator: operator, id: catalogue.ChangeID(request.GetChangeId()), why: request.GetWhy(),
		fingerprint: fingerprintOf("revoke", ref.ID),
		edits:       []editRequest{{ref: ref, anyRevision: true, build: build}},
	}, nil
}

// applyFingerprint covers the requested entries, but not the revisions on
// which they are based: a retry may be prepared from a later state.
func applyFingerprint(request *rpc.ApplyRequest) cataloguestore.Fingerprint {
	parts := []string{"apply"}
	for _, edit := range request.GetEdits() {
		part := edit.GetKind() + "/" + edit.GetId()
		if edit.GetEntry() != nil {
			entry := proto.Clone(edit.GetEntry()).(*rpccatalogue.Entry)
			if entry.GetMeta() != nil {
				entry.Meta.Revision = 0
			}
			data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(entry)
			part += "=" + string(data)
		}
		parts = append(parts, part)
	}
	slices.Sort(parts[1:])
	return fingerprintOf(parts...)
}

// fingerprintOf hashes the parts, each prefixed with its length so that their
// boundaries are unambiguous.
func fingerprintOf(parts ...string) cataloguestore.Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return cataloguestore.Fingerprint(h.Sum(nil))
}
