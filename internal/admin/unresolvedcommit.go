package admin

import "buckthornlatch.example/buckthornlatch/internal/platform"

// unresolvedCommit is a commit whose outcome is unknown.
type unresolvedCommit struct {
	err error
	// headRow is the head row's revision on which the commit is conditional.
	headRow platform.Revision
}
