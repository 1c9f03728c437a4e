package admin

import (
	"errors"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"

	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// Metadata keys of Twirp errors.
const (
	// MetaCurrent holds the current entries (rpc.Entries as JSON) when a change was
	// based on older revisions.
	MetaCurrent = "current"
	// MetaProblems holds the problems of an invalid change (rpc.Problems as JSON).
	MetaProblems = "problems"
)

// isOutage reports whether err is an *UnavailableError or an *OutcomeUnknownError.
func isOutage(err error) bool {
	var unavailable *UnavailableError
	var unknown *OutcomeUnknownError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

// toTwirp converts an error of this package to a Twirp error.
func toTwirp(err error) error {
	var denied *DeniedError
	var stale *StaleError
	var badInput *InvalidError
	var missing *NotFoundError
	var reused *ReusedError
	var unknown *OutcomeUnknownError
	var unavailable *UnavailableError
	var readFailed *ReadFailedError
	switch {
	case errors.As(err, &denied):
		return twirp.NewError(twirp.PermissionDenied, denied.Error())
	case errors.As(err, &stale):
		return twirp.NewError(twirp.Aborted, stale.Error()).WithMeta(MetaCurrent, currentJSON(stale))
	case errors.As(err, &badInput):
		return twirp.NewError(twirp.InvalidArgument, badInput.Error()).WithMeta(MetaProblems, problemsJSON(badInput))
	case errors.As(err, &missing):
		return twirp.NewError(twirp.NotFound, missing.Error())
	case errors.As(err, &reused):
		return twirp.NewError(twirp.AlreadyExists, reused.Error())
	case errors.As(err, &unknown):
		return twirp.NewError(twirp.Unknown, unknown.Error())
	case errors.As(err, &unavailable):
		return twirp.NewError(twirp.Unavailable, unavailable.Error())
	case errors.As(err, &readFailed):
		return twirp.NewError(twirp.Unavailable, readFailed.Error())
	default:
		return twirp.InternalErrorWith(err)
	}
}

// currentJSON returns the current entries as JSON, without key hashes.
func currentJSON(stale *StaleError) string {
	message := &rpc.Entries{}
	for _, entry := range stale.Current {
		if entry != nil {
			message.Entries = append(message.Entries, codec.FromEntry(audit.WithoutHash(entry)))
		}
	}
	data, _ := protojson.Marshal(message)
	return string(data)
}

// problemsJSON returns the problems as JSON.
func problemsJSON(badInput *InvalidError) string {
	message := &rpc.Problems{}
	for _, p := range badInput.Problems {
		message.Problems = append(message.Problems, &rpc.Problem{
			Kind: string(p.Ref.Kind), Id: p.Ref.ID, Key: p.Key, Reason: p.Reason,
		})
	}
	data, _ := protojson.Marshal(message)
	return string(data)
}
