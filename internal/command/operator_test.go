package command_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/admin"
	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/command"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
)

const baseFile = `[[service]]
name = "reservas"
owner = "ops"

[[customer]]
id = "parks"
owner = "ops"
rate_per_second = 10
burst = 20

[[route]]
id = "book"
owner = "ops"
service = "reservas"
path_prefix = "/bookings"
open_to_all = true
`

var _ = Describe("operator subcommands", func() {
	var (
		dir    string
		server *httptest.Server
		// dropResponses is the number of further Apply calls whose responses are dropped.
		dropResponses int
	)

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		memory := platform.NewMemory()
		store := cataloguestore.New(memory.Table(), memory.Objects())
		syncer := catalogsync.New(store, catalogsync.Config{Clock: &clock.Fake{}, Logger: zerolog.Nop()})
		service := admin.NewService(admin.NewEditor(store, syncer, time.Now), audit.New(store), &revocation.Set{}, rand.Reader)
		handler := admin.NewHandler(service, admin.Credentials{{
			Operator: admin.Operator{Name: "ana", Groups: []string{"ops"}}, TokenHash: sha256.Sum256([]byte("secret")),
		}})
		dropResponses = 0
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if dropResponses > 0 && strings.HasSuffix(r.URL.Path, "/Apply") {
				dropResponses--
				handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
	})

	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	// run parses a command line as the binary does and runs the subcommand.
	run := func(line ...string) (string, error) {
		var root struct {
			Catalogue *command.Catalogue `arg:"subcommand"`
			Key       *command.Key       `arg:"subcommand"`
			Audit     *command.Audit     `arg:"subcommand"`
			Check     *command.Check     `arg:"subcommand"`
		}
		if line[0] != "check" {
			line = append(line, "--admin", server.URL, "--token-file", write("token", "secret\n"))
		}
		parser, err := arg.NewParser(arg.Config{}, &root)
		Expect(err).NotTo(HaveOccurred())
		Expect(parser.Parse(line)).To(Succeed())
		var out bytes.Buffer
		switch {
		case root.Catalogue != nil:
			err = root.Catalogue.Run(context.Background(), &out)
		case root.Key != nil:
			err = root.Key.Run(context.Background(), &out)
		case root.Audit != nil:
			err = root.Audit.Run(context.Background(), &out)
		case root.Check != nil:
			err = root.Check.Run(context.Background(), &out)
		}
		return out.String(), err
	}

	// Guards against applying only part of a file, or making a change when nothing differs.
	It("applies a file as one change, which diff shows first", func() {
		file := write("c.toml", baseFile)
		out, err := run("catalogue", "diff", file)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("3 entries differ from revision 0"))
		out, err = run("catalogue", "apply", file, "--why", "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("accepted as revision 1, 3 entries"))
		out, err = run("catalogue", "apply", file, "--why", "again")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("no difference from revision 1"))
		out, err = run("audit")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(out, "revision ")).To(Equal(1))
		Expect(out).To(And(ContainSubstring("ana"), ContainSubstring(`why: "first"`)))
	})

	// Guards against an edited listing that overwrites a concurrent change.
	It("refuses a file based on an old revision", func() {
		_, err := run("catalogue", "apply", write("c.toml", baseFile), "--why", "first")
		Expect(err).NotTo(HaveOccurred())
		listing, err := run("catalogue", "get", "customer")
		Expect(err).NotTo(HaveOccurred())
		_, err = run("catalogue", "apply", write("d.toml", strings.Replace(baseFile, "= 10", "= 11", 1)), "--why", "b")
		Expect(err).NotTo(HaveOccurred())
		_, err = run("catalogue", "apply", write("e.toml", strings.Replace(listing, "= 10", "= 12", 1)), "--why", "c")
		Expect(err).To(MatchError(And(ContainSubstring("now at revision 2"), ContainSubstring("current entries"))))
		Expect(command.ExitCode(err)).To(Equal(1))
		out, err := run("catalogue", "history", "customer/parks")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`rate_per_second: "10" -> "11"`))
	})

	// Guards against applying bad input, or reporting it without its position.
	It("reports bad input with file, line, key and reason", func() {
		file := write("c.toml", strings.Replace(baseFile, "burst = 20", "burst = 0", 1))
		_, err := run("catalogue", "apply", file, "--why", "x")
		Expect(err).To(MatchError(ContainSubstring(file + ":9: customer.burst: must be between")))
		Expect(command.ExitCode(err)).To(Equal(2))
		file = write("c.toml", strings.Replace(baseFile, `service = "reservas"`, `service = "other"`, 1))
		_, err = run("catalogue", "apply", file, "--why", "x")
		Expect(err).To(MatchError(ContainSubstring(file + `:14: route.service: "other" does not exist`)))
		Expect(command.ExitCode(err)).To(Equal(2))
		_, err = run("check", "--catalogue", file)
		Expect(command.ExitCode(err)).To(Equal(2))
		out, err := run("audit")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(BeEmpty())
	})

	// Guards against a change that is made twice or reported as failed because the response was lost.
	It("finds the outcome of a change whose response was lost", func() {
		dropResponses = 1
		file := write("c.toml", baseFile)
		out, err := run("catalogue", "apply", file, "--why", "x", "--change-id", "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("accepted as revision 1, 3 entries"))
		out, err = run("catalogue", "apply", file, "--why", "x", "--change-id", "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("accepted before as revision 1, 3 entries"))
	})

	// Guards against printing a key twice, and against a revoked key missing from the list.
	It("issues, lists and revokes keys", func() {
		_, err := run("catalogue", "apply", write("c.toml", baseFile), "--why", "first")
		Expect(err).NotTo(HaveOccurred())
		out, err := run("key", "issue", "--customer", "parks", "--why", "contract", "--change-id", "k1")
		Expect(err).NotTo(HaveOccurred())
		secret := regexp.MustCompile(`(?m)^key: (blk_\S+)$`).FindStringSubmatch(out)[1]
		keyID := regexp.MustCompile(`(?m)^key id: (\S+)$`).FindStringSubmatch(out)[1]
		_, err = run("key", "issue", "--customer", "parks", "--why", "contract", "--change-id", "k1")
		Expect(err).To(MatchError(ContainSubstring("kept nowhere")))
		out, err = run("key", "revoke", keyID, "--why", "leaked")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("accepted as revision 3"))
		out, err = run("key", "list", "--customer", "parks")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(ContainSubstring(keyID), ContainSubstring("revoked"), Not(ContainSubstring(secret))))
		out, err = run("audit")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(ContainSubstring(`revoked: "false" -> "true"`), Not(ContainSubstring(secret))))
	})
})
