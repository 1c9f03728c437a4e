package gate_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
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

	It("is followed by the end of the attempt if the target does not answer", func() {
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if r.Header.Get("Request-Id") == "lost" {
				<-r.Context().Done()
				return
			}
			w.Header().Set("Seal", "s")
		})
		h.stopTime = stopTime
		for range 6 {
			h.sendRemote(context.Background(), attempt("seats"))
		}
		lost := attempt("seats", func(a *link.Attempt) { a.Header.Set("Request-Id", "lost"); a.Remaining = 20 * time.Second })
		began := time.Now()
		result, _ := h.sendRemote(context.Background(), lost)
		Expect(result.Verdict).To(Equal(hop.Unknown))
		Expect(result.Reason).To(Equal(link.OutOfTime))
		Expect(time.Since(began)).To(BeNumerically("~", stopTime+500*time.Millisecond, 400*time.Millisecond))
	})
})
