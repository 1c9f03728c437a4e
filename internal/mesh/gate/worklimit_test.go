package gate_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// Guards against targets that get all of the caller's time and hang for longer than a planned stop waits.
var _ = Describe("The time that a target is given", func() {
	const stopTime = 700 * time.Millisecond

	// given returns the time that the target was given for an attempt, after six of the route that took the usual time.
	given := func(usual time.Duration, a *link.Attempt) time.Duration {
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			time.Sleep(usual)
			w.Header().Set("Seal", "s")
		})
		h.stopTime = stopTime
		for range 6 {
			result, _ := h.sendRemote(context.Background(), attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.Ran))
		}
		result, _ := h.sendRemote(context.Background(), a)
		Expect(result.Verdict).To(Equal(hop.Ran))
		seen := h.requests()
		left, err := strconv.Atoi(seen[len(seen)-1].Header.Get(headers.Deadline))
		Expect(err).NotTo(HaveOccurred())
		return time.Duration(left) * time.Millisecond
	}

	It("is what a planned stop waits for where work is short", func() {
		Expect(given(time.Millisecond, attempt("seats"))).To(BeNumerically("~", stopTime, 50*time.Millisecond))
	})

	It("leaves enough for work that usually takes long", func() {
		usual := 600 * time.Millisecond
		Expect(given(usual, attempt("seats"))).To(BeNumerically(">", 3*usual/2))
	})

	It("is not limited while a long body is being received", func() {
		body, sender := io.Pipe()
		long := attempt("", func(a *link.Attempt) {
			a.Body = &link.Body{Rest: body, Length: 4 * link.MaxBufferedBody}
			a.Remaining = 10 * time.Second
		})
		go func() {
			chunk := make([]byte, 2*link.MaxBufferedBody)
			_, _ = sender.Write(chunk)
			time.Sleep(2 * stopTime)
			_, _ = sender.Write(chunk)
			_ = sender.Close()
		}()
		Expect(given(time.Millisecond, long)).To(BeNumerically(">", 5*time.Second))
	})

	It("never exceeds the caller's deadline", func() {
		short := attempt("seats", func(a *link.Attempt) { a.Remaining = 300 * time.Millisecond })
		Expect(given(time.Millisecond, short)).To(BeNumerically("<=", 300*time.Millisecond))
	})

	// Guards against an answer that is cut because it takes longer to arrive than the work may take.
	It("does not bound how long the answer takes", func() {
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Seal", "s")
			if r.Header.Get("Request-Id") != "slow answer" {
				return
			}
			for range 8 {
				_, _ = io.WriteString(w, "part ")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(stopTime / 4)
			}
		})
		h.stopTime = stopTime
		for range 6 {
			h.sendRemote(context.Background(), attempt("seats"))
		}
		slow := attempt("seats", func(a *link.Attempt) { a.Header.Set("Request-Id", "slow answer"); a.Remaining = 20 * time.Second })
		result, _ := h.sendRemote(context.Background(), slow)
		Expect(result.Verdict).To(Equal(hop.Ran))
		Expect(string(result.Body)).To(Equal(strings.Repeat("part ", 8)))
	})

	// Guards against a target that has become slower for all its work and is never given enough time again.
	It("grows when the target ends attempt after attempt", func() {
		const slow = 3 * stopTime / 2
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			w.Header().Set("Seal", "s")
			if r.Header.Get("Request-Id") != "slow" {
				return
			}
			left, err := strconv.Atoi(r.Header.Get(headers.Deadline))
			if limit := time.Duration(left) * time.Millisecond; err != nil || limit < slow {
				time.Sleep(limit)
				w.WriteHeader(http.StatusGatewayTimeout)
				return
			}
			time.Sleep(slow)
		})
		h.stopTime = stopTime
		for range 6 {
			h.sendRemote(context.Background(), attempt("seats"))
		}
		served := false
		for i := 0; i < 12 && !served; i++ {
			result, _ := h.sendRemote(context.Background(), attempt("seats", func(a *link.Attempt) {
				a.Header.Set("Request-Id", "slow")
				a.Remaining, a.Forced = 20*time.Second, true
			}))
			served = result.Status == http.StatusOK
		}
		Expect(served).To(BeTrue())
	})
})
