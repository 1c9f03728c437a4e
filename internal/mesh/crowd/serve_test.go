package crowd_test

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// serveMemoryMB and serveFiles are the memory and the descriptors of the smallest host (docs/plan.md). The settings state none.
const serveMemoryMB, serveFiles = 184, 4100

// serveTimes is by how much a crowd is larger here, where there is twice the memory.
const serveTimes = 2

// serving is a daemon of the product's own interface.
type serving struct {
	*process
	callers, admin string
}

// startServing starts an emulated platform and the daemon, and waits until it answers.
func startServing() *serving {
	dir := tempDir()
	platform := freeAddress()
	startProcess(dir, "platform", nil, "emulate", "platform", "--listen", platform)
	s := &serving{callers: freeAddress(), admin: freeAddress()}
	settings := filepath.Join(dir, "one.toml")
	Expect(os.WriteFile(settings, fmt.Appendf(nil,
		"[host]\nname = \"one\"\nfailure_domain = \"fd-1\"\n[listen]\ncaller = %q\npeer = %q\nlocal = %q\nadmin = %q\n[platform]\naddress = %q\n"+
			"[[operators]]\nname = \"alba\"\ntoken_hash = \"%064x\"\ngroups = [\"senderos\"]\n",
		s.callers, freeAddress(), freeAddress(), s.admin, "http://"+platform, 1), 0o600)).To(Succeed())
	s.process = startProcess(dir, "serve", nil, "serve", "--settings", settings)
	Eventually(s.ordinary, "20s", "100ms").ShouldNot(BeZero())
	return s
}

// ordinary returns the status of an ordinary request, zero without an answer. The catalogue is empty, so that it is a refusal.
func (s *serving) ordinary() int {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.callers+"/walks", nil)
	Expect(err).NotTo(HaveOccurred())
	return status(r)
}

// isAlive returns the status of the operators' check, zero without an answer.
func (s *serving) isAlive() int {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.admin+"/healthz", nil)
	Expect(err).NotTo(HaveOccurred())
	return status(r)
}

// Guards against callers that exhaust the memory of a host of the product's own interface.
var _ = Describe("The serving daemon under a crowd", func() {
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		for _, where := range []string{"callers", "operators"} {
			It(fmt.Sprintf("stays within the memory of a host: %s at the port of %s", kind, where), func() {
				s, c := startServing(), kinds[kind]
				c.callers *= serveTimes
				address := s.callers
				if where == "operators" {
					address = s.admin
				}
				c.attack(address, "/walks")
				s.expectWithin(serveMemoryMB, serveFiles)
				Eventually(s.ordinary, "20s", "200ms").ShouldNot(BeZero())
				Expect(s.isAlive()).To(Equal(http.StatusNoContent))
			})
		}
	}
})
