package gate_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

var _ = Describe("A target of a gate", func() {
	var fake *clock.Fake
	var g *gate.Gate

	BeforeEach(func() {
		w := &fakeDeps{admit: gate.AdmitAll}
		fake = &clock.Fake{}
		g = gate.New(gate.Config{Host: "h", Incarnation: 7}, gate.Deps{
			Quarantine: noQuarantine{},
			Clock:      fake, Catalogue: w, Revocations: w, Health: w, Order: gate.NewFIFO(), Log: zerolog.Nop(),
		})
	})

	// announce announces the target and returns the gate's identity.
	announce := func(state targetapi.State, instance, process string) string {
		body := fmt.Sprintf(`{"name":"t1","service":"walks","address":"127.0.0.1:9","slots":2,"state":%q,"instance":%q,"gate":%q}`, state, instance, process)
		recorder := httptest.NewRecorder()
		g.Announce(recorder, httptest.NewRequest(http.MethodPost, targetapi.AnnouncePath, strings.NewReader(body)))
		Expect(recorder.Code).To(Equal(http.StatusNoContent))
		return recorder.Header().Get(targetapi.HeaderGate)
	}
	state := func() targetapi.State {
		Expect(g.Targets()).To(HaveLen(1))
		return g.Targets()[0].State
	}

	// Guards against an announcement from before the leaving that brings the target back into use.
	It("that is leaving stays out of use when an earlier announcement arrives late", func() {
		process := announce(targetapi.Serving, "a", "")
		announce(targetapi.Serving, "a", process)
		Expect(state()).To(Equal(targetapi.Serving))
		announce(targetapi.Leaving, "a", process)
		for range 5 {
			announce(targetapi.Serving, "a", process)
			fake.Advance(time.Second)
		}
		Expect(state()).To(Equal(targetapi.Leaving))
		announce(targetapi.Serving, "b", process)
		Expect(state()).To(Equal(targetapi.Serving))
	})

	// Guards against a restarted daemon that uses a target because of an announcement that was held back since before the leaving.
	It("is not used by a new process because of an announcement to an earlier one", func() {
		announce(targetapi.Serving, "a", "6")
		Expect(state()).To(Equal(targetapi.Starting))
		process := announce(targetapi.Serving, "a", "6")
		Expect(state()).To(Equal(targetapi.Starting))
		announce(targetapi.Serving, "a", process)
		Expect(state()).To(Equal(targetapi.Serving))
	})

	// Guards against targets that do not repeat the gate's identity and are never used.
	DescribeTable("that does not repeat the gate's identity is used after several announcements",
		func(before targetapi.State) {
			announce(before, "", "")
			for range 2 {
				announce(targetapi.Serving, "", "")
				Expect(state()).NotTo(Equal(targetapi.Serving))
				fake.Advance(time.Second)
			}
			announce(targetapi.Serving, "", "")
			Expect(state()).To(Equal(targetapi.Serving))
		},
		Entry("when it starts", targetapi.Starting),
		Entry("when its predecessor without an instance has left", targetapi.Leaving),
	)
})
