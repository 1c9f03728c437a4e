package command_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/command"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// failingAdmin fails each revocation with the next of its errors.
type failingAdmin struct {
	rpc.Admin
	errors []twirp.ErrorCode
	calls  atomic.Int64
	// stop ends the server once all errors were returned, so that further connections are refused.
	stop func()
}

// RevokeKey implements rpc.Admin.
func (f *failingAdmin) RevokeKey(context.Context, *rpc.RevokeKeyRequest) (*rpc.RevokeKeyResponse, error) {
	call := int(f.calls.Add(1))
	if call >= len(f.errors) && f.stop != nil {
		f.stop()
	}
	return nil, twirp.NewError(f.errors[min(call, len(f.errors))-1], "failed")
}

// Guards against an operator who is told that a change was not made, when the first of its sends may have made it.
var _ = DescribeTable("a change of unknown outcome that is sent again", func(refuse, unknown bool, errors ...twirp.ErrorCode) {
	api := &failingAdmin{errors: errors}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(rpc.NewAdminServer(api))
	server.Listener = listener
	server.Config.SetKeepAlivesEnabled(false)
	server.Start()
	DeferCleanup(server.Close)
	if refuse {
		api.stop = func() { _ = listener.Close() }
	}
	token := filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(token, []byte("secret"), 0o600)).To(Succeed())
	revoke := &command.KeyRevoke{
		Connection:    command.Connection{Admin: server.URL, TokenFile: token},
		ChangeOptions: command.ChangeOptions{Why: "leaked", ChangeID: "c1"}, KeyID: "k1",
	}
	err = revoke.Run(context.Background(), io.Discard)
	if !unknown {
		Expect(err).To(MatchError(Not(ContainSubstring("outcome unknown"))))
		return
	}
	Expect(err).To(MatchError(ContainSubstring("outcome unknown, repeat with --change-id c1")))
},
	Entry("stays unknown when the platform fails then", false, true, twirp.Unknown, twirp.Unavailable),
	Entry("stays unknown when the daemon is gone then", true, true, twirp.Unknown),
	Entry("is refused when the daemon knows that it cannot be made", false, false, twirp.Unknown, twirp.Aborted),
	Entry("was not made when the first send says so", false, false, twirp.Unavailable),
)
