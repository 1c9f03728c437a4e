package gate_test

import (
	"context"
	"fmt"
	"net"
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

// startGate returns a gate that runs until the spec ends, with one target at an address.
func startGate(address net.Addr) *gate.Gate {
	w := &fakeDeps{admit: gate.AdmitAll}
	g := gate.New(gate.Config{Host: "h", Incarnation: 7, ProgressTimeout: time.Second}, gate.Deps{
		Quarantine: noQuarantine{},
		Clock:      &clock.Fake{}, Catalogue: w, Revocations: w, Health: w, Order: gate.NewFIFO(), Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	announcement := fmt.Sprintf(`{"name":"t1","service":"walks","address":%q,"slots":2,"state":"serving","gate":"7"}`, address)
	recorder := httptest.NewRecorder()
	g.Announce(recorder, httptest.NewRequest(http.MethodPost, targetapi.AnnouncePath, strings.NewReader(announcement)))
	Expect(recorder.Code).To(Equal(http.StatusNoContent))
	return g
}
