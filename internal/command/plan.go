package command

import (
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// planned is one difference between a file and the catalogue.
type planned struct {
	edit catalogue.Edit
	// expected is the revision on which the edit is based.
	expected catalogue.Revision
}

// plan returns the differences between a file and the catalogue, in file order.
func plan(file *catalogue.File, now *catalogue.Snapshot) []planned {
	var plans []planned
	add := func(ref catalogue.Ref, after catalogue.Entry, base catalogue.Revision) {
		edit := catalogue.Edit{Before: now.Entry(ref), After: after}
		if catalogue.SameContent(edit.Before, edit.After) {
			return
		}
		p := planned{edit: edit, expected: base}
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
func printPlan(w io.Writer, plans []planned) error {
	for _, p := range plans {
		if err := printEdit(w, p.edit, ""); err != nil {
			return err
		}
	}
	return nil
}

// printEdit writes an edit, each line after the indent.
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

// toRequest converts the differences.
func toRequest(plans []planned, options ChangeOptions, dryRun bool) *rpc.ApplyRequest {
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
