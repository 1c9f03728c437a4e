package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// printTrail prints every change that the request selects, oldest first.
func printTrail(ctx context.Context, client rpc.Admin, request *rpc.AuditRequest, stdout io.Writer) error {
	for {
		page, err := client.Audit(ctx, request)
		if err != nil {
			return fault.New("read audit trail", "", err)
		}
		for _, change := range page.GetChanges() {
			if err := printChange(stdout, change, request); err != nil {
				return err
			}
		}
		if !page.GetMore() {
			return nil
		}
		request.After = page.GetThrough()
	}
}

// printChange prints one change. If the request selects an entry, only the edit of
// that entry is printed.
func printChange(w io.Writer, change *rpccatalogue.Change, request *rpc.AuditRequest) error {
	at := time.UnixMilli(change.GetAtUnixMs()).UTC().Format(time.RFC3339)
	_, err := fmt.Fprintf(w, "revision %d  %s  %s  change id %s  why: %q\n",
		change.GetRevision(), at, change.GetOperator(), change.GetChangeId(), change.GetWhy())
	if err != nil {
		return err
	}
	for _, message := range change.GetEdits() {
		edit, err := toEdit(message)
		if err != nil {
			return err
		}
		selected := catalogue.Ref{Kind: catalogue.Kind(request.GetKind()), ID: request.GetId()}
		if selected != (catalogue.Ref{}) && edit.Ref() != selected {
			continue
		}
		if err := printEdit(w, edit, "  "); err != nil {
			return err
		}
	}
	return nil
}

// toEdit decodes an edit of the audit trail.
func toEdit(message *rpccatalogue.Edit) (catalogue.Edit, error) {
	var edit catalogue.Edit
	var err error
	if message.GetBefore() != nil {
		if edit.Before, err = codec.ToUncheckedEntry(message.GetBefore()); err != nil {
			return edit, err
		}
	}
	if message.GetAfter() != nil {
		if edit.After, err = codec.ToUncheckedEntry(message.GetAfter()); err != nil {
			return edit, err
		}
	}
	if edit.Before == nil && edit.After == nil {
		return edit, &codec.DecodeError{What: "edit", Reason: "has no entry"}
	}
	return edit, nil
}
