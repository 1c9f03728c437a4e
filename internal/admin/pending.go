package admin

import "buckthornlatch.example/buckthornlatch/internal/platform"

// pending is a commit whose outcome is open.
type pending struct {
	err error
	// headRow is the head row's revision on which the commit is conditional.
	headRow platform.Revision
}
