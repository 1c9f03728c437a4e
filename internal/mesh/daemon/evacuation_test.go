package daemon_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/platform"
)

var _ = Describe("An evacuated failure domain", func() {
	commit := func(s *store, txn platform.Txn) {
		GinkgoHelper()
		_, err := s.memory.Table().Commit(context.Background(), txn)
		Expect(err).NotTo(HaveOccurred())
		s.notifyWatches()
	}

	// Guards against attempts at evacuated targets when there are no others, against callers that are sent away from their only
	// host, and against a domain that returns to service because the store is down.
	It("gets nothing until it is back in service, also when the store is down meanwhile", func() {
		f := newFleet(2)
		commit(f.store, platform.Txn{Puts: []platform.Put{{Key: "op/evacuate/north", Value: []byte("{}")}}})
		for _, h := range f.hosts {
			Eventually(func() int { return h.get("/browse/1", "school-key").status }, "2s").Should(Equal(http.StatusServiceUnavailable))
		}
		f.store.setDown(true)
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			Expect(h.post("school-key", "evacuated").status).To(Equal(http.StatusServiceUnavailable))
			response, err := http.Get("http://" + h.probes)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(f.runsOf("evacuated")).To(BeZero())
		f.store.setDown(false)
		commit(f.store, platform.Txn{Deletes: []string{"op/evacuate/north"}})
		for _, h := range f.hosts {
			Eventually(func() int { return h.get("/browse/1", "school-key").status }, "5s").Should(Equal(http.StatusOK))
		}
	})
})
