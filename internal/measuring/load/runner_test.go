package load_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

var _ = Describe("Runner", func() {
	// Guards against a booking whose answer was lost and that counts as refused, since its last resend found no daemon:
	// the end-to-end case with one-way cuts reported an untrue refusal that no daemon had made.
	It("keeps an outcome unknown when a resend cannot connect", func() {
		var mu sync.Mutex
		runs := map[string]int{}
		var daemon *httptest.Server
		daemon = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(target.RequestIDHeader) == "" {
				_, _ = io.WriteString(w, `{"tickets":["t"]}`)
				return
			}
			mu.Lock()
			runs[r.Header.Get(target.RequestIDHeader)]++
			mu.Unlock()
			_ = daemon.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(daemon.Close)
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		plan := load.Plan{
			Daemons: []string{daemon.URL, gone.URL}, Duration: 200 * time.Millisecond, Timeout: 3 * time.Second, Seed: 1,
			Customers: []load.Customer{{
				ID: "school", RatePerSecond: 50, Placement: load.Spread,
				Operations: []load.Operation{{Method: http.MethodPost, Path: "/", Weight: 1, BodyBytes: 8}},
			}},
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		history, err := load.NewRunner(plan, load.Keys{"school": "key"}, client).Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		mu.Lock()
		defer mu.Unlock()
		Expect(runs).NotTo(BeEmpty())
		Expect(load.Check(history, runs)).To(Equal(load.Verdict{}))
	})
})
