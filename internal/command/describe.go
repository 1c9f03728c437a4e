package command

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"

	"buckthornlatch.example/buckthornlatch/internal/admin"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// describe adds the metadata of an API error to its message: validation problems
// with their position in the file, or the current entries when the change was
// based on an old revision. file may be nil.
func describe(err error, file *catalogue.File) error {
	var apiErr twirp.Error
	if !errors.As(err, &apiErr) {
		return err
	}
	switch apiErr.Code() {
	case twirp.InvalidArgument:
		return describeProblems(apiErr, file)
	case twirp.Aborted:
		return fmt.Errorf("%s\ncurrent entries: %s", apiErr.Msg(), apiErr.Meta(admin.MetaCurrent))
	default:
		return err
	}
}

// describeProblems maps validation problems to positions in the file. Without a
// file or problems it returns the API error as an *InputError.
func describeProblems(apiErr twirp.Error, file *catalogue.File) error {
	var message rpc.Problems
	if err := protojson.Unmarshal([]byte(apiErr.Meta(admin.MetaProblems)), &message); err != nil || file == nil || len(message.GetProblems()) == 0 {
		return &InputError{Err: apiErr}
	}
	var problems []catalogue.Problem
	for _, p := range message.GetProblems() {
		ref := catalogue.Ref{Kind: catalogue.Kind(p.GetKind()), ID: p.GetId()}
		problems = append(problems, catalogue.Problem{Ref: ref, Key: p.GetKey(), Reason: p.GetReason()})
	}
	return file.Locate(problems)
}
