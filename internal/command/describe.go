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

// describe adds to an API error what it carries: problems with their place in
// the file, and the current entries of a stale change. file may be nil.
func describe(err error, file *catalogue.File) error {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return err
	}
	switch answer.Code() {
	case twirp.InvalidArgument:
		return describeProblems(answer, file)
	case twirp.Aborted:
		return fmt.Errorf("%s\ncurrent entries: %s", answer.Msg(), answer.Meta(admin.MetaCurrent))
	default:
		return err
	}
}

// describeProblems returns file errors where the problems are in the file.
func describeProblems(answer twirp.Error, file *catalogue.File) error {
	var message rpc.Problems
	if err := protojson.Unmarshal([]byte(answer.Meta(admin.MetaProblems)), &message); err != nil || file == nil || len(message.GetProblems()) == 0 {
		return &InputError{Err: answer}
	}
	var problems []catalogue.Problem
	for _, p := range message.GetProblems() {
		ref := catalogue.Ref{Kind: catalogue.Kind(p.GetKind()), ID: p.GetId()}
		problems = append(problems, catalogue.Problem{Ref: ref, Key: p.GetKey(), Reason: p.GetReason()})
	}
	return file.Locate(problems)
}
