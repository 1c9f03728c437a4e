package e2e_test

import (
	"os"
	"path/filepath"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// faultPattern finds data races and panics in the processes' logs.
var faultPattern = regexp.MustCompile(`(?m)^(WARNING: DATA RACE|panic: |fatal error: ).*$`)

// The cases share one fleet. Each removes all faults before it starts.
var _ = Describe("A fleet of processes", Ordered, ContinueOnFailure, func() {
	f := &fleet{}
	failed := false

	BeforeAll(func() {
		if randomDuration() > 0 {
			Skip("only the randomised run was asked for")
		}
		DeferCleanup(func() { f.close(failed) })
		f.start()
	})
	BeforeEach(func() { f.restore() })
	AfterEach(func() {
		failed = failed || CurrentSpecReport().Failed()
	})

	// Guards against bookings that run again, are lost or are refused untruly
	// when an entry or a gate is lost in the middle of a request.
	It("survives the kill of a daemon under load", func() { killCase(f) })

	// Guards against a shutdown that cuts requests in flight or loses the
	// records of tickets.
	It("stops a daemon gracefully under load", func() { gracefulCase(f) })

	// Guards against a paused daemon that goes on with old keys, grants,
	// permissions and duties when it continues.
	It("survives a pause of a daemon", func() { pauseCase(f) })

	// Guards against a revoked key that keeps working on open connections.
	It("revokes a key everywhere within the bound", func() { revokeCase(f) })

	// Guards against a revocation that must wait until the platform is back.
	It("revokes a key everywhere during a platform outage", func() { emergencyCase(f) })

	// Guards against a fleet that needs the platform to serve, and against a
	// daemon that starts with an old catalogue.
	It("serves through a platform outage", func() { outageCase(f) })

	// Guards against edits that are applied twice or lost when responses of
	// the platform are lost and operators race.
	It("accepts one of two racing edits when responses are lost", func() { racingCase(f) })

	// Guards against late, crossed or repeated outcomes when one direction of
	// a path or an open connection fails silently.
	It("survives one-way cuts, silent connections and a kill together", func() { cutCase(f) })

	// Guards against a change that reaches some daemons late or not at all.
	It("brings a catalogue change into force everywhere within the bound", func() { changeCase(f) })

	// Guards against runs that happen after a case has compared its load.
	It("has kept every promise when all work has ended", func() { f.expectPromises() })
})

// expectPromises compares all loads with the targets' counts once more, and
// reads the revisions and logs of the whole life of the fleet.
func (f *fleet) expectPromises() {
	GinkgoHelper()
	runs := f.runs()
	for _, history := range f.histories {
		verdict := load.Check(history, runs)
		Expect(verdict).To(Equal(load.Verdict{}), "%s", examples(history, runs))
	}
	Expect(f.watcher.found()).To(BeEmpty(), "revisions that went back")
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	for _, name := range logs {
		text, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(faultPattern.FindAllString(string(text), -1)).To(BeEmpty(), "in %s", filepath.Base(name))
	}
}
