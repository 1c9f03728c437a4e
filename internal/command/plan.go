package command

import (
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// plannedEdit is an edit that makes one catalogue entry match the file.
type plannedEdit struct {
	edit catalogue.Edit
	// expected is the revision on which the edit is based.
	expected catalogue.Revision
}

// plan returns the edits that make the catalogue match a file: changed entries in
// file order, then deletions.
func plan(file *catalogue.File, snapshot *catalogue.Snapshot) []plannedEdit {
	var plans []plannedEdit
	add := func(ref catalogue.Ref, after catalogue.Entry, base catalogue.Revision) {
		edit := catalogue.Edit{Before: snapshot.Entry(ref), After: after}
		if catalogue.SameContent(edit.Before, edit.After) {
			return
		}
		p := plannedEdit{edit: edit, expected: base}
		if base == 0 && edit.Before != nil {
			p.expected = edit.Before.Common().Revision
		}
		plans = append(plans, p)
	}
	for _, e := range file.Entries {
		add(e.Entry.Ref(), e.Entry, e.Base)
	}
	for _, d := range file.Deletes {
		add(d.Ref, nil, d.Base)
	}
	return plans
}

// printPlan writes one line per changed field.
func printPlan(w io.Writer, plans []plannedEdit) error {
	for _, p := range plans {
		if err := printEdit(w, p.edit, ""); err != nil {
			return err
		}
	}
	return nil
}

// printEdit writes an edit with every line indented.
func printEdit(w io.Writer, edit catalogue.Edit, indent string) error {
	sign := "~"
	switch {
	case edit.Before == nil:
		sign = "+"
	case edit.After == nil:
		sign = "-"
	}
	if _, err := fmt.Fprintf(w, "%s%s %s\n", indent, sign, edit.Ref()); err != nil {
		return err
	}
	if edit.After == nil {
		return nil
	}
	for _, f := range catalogue.Fields(edit.Before, edit.After) {
		if _, err := fmt.Fprintf(w, "%s    %s: %q -> %q\n", indent, f.Key, f.Before, f.After); err != nil {
			return err
		}
	}
	return nil
}

// toRequest returns the Apply request for the planned edits.
func toRequest(plans []plannedEdit, options ChangeOptions, dryRun bool) *rpc.ApplyRequest {
	request := &rpc.ApplyRequest{ChangeId: options.ChangeID, Why: options.Why, DryRun: dryRun}
	for _, p := range plans {
		ref := p.edit.Ref()
		request.Edits = append(request.Edits, &rpc.EntryEdit{
			Kind: string(ref.Kind), Id: ref.ID,
			Entry: codec.FromEntry(p.edit.After), ExpectedRevision: uint64(p.expected),
		})
	}
	return request
}
