package experiment_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

var _ = Describe("The metrics of a fleet", func() {
	// Guards against counters that stand still under load, and against a key or customer in the output.
	It("move with requests and name no key, customer or target", func() {
		ctx := context.Background()
		p := plan(time.Second, 50)
		fleet, keys := start(ctx, &p)
		history, err := load.NewRunner(p, keys, &http.Client{}).Run(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Records).NotTo(BeEmpty())
		time.Sleep(3 * time.Second)
		all := ""
		for _, node := range fleet.Nodes {
			response, err := http.Get("http://" + node.Daemon.Addresses().Admin + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			text := string(body)
			Expect(text).To(MatchRegexp(`buckthornlatch_requests_total\{status="2xx"\} [1-9]`))
			Expect(text).To(MatchRegexp(`buckthornlatch_rate_admissions_total\{result="ok"\} [1-9]`))
			all += text
			Expect(text).To(MatchRegexp(`buckthornlatch_platform_reads_total\{result="ok"\} [1-9]`))
			Expect(text).To(MatchRegexp(`buckthornlatch_control_calls_total\{result="ok",service="gossip"\} [1-9]`))
			Expect(text).To(ContainSubstring(`buckthornlatch_targets{state="serving"} 1`))
			for _, secret := range []string{keys["museo"], "museo", "reservas-" + string(node.Host.ID)} {
				Expect(text).NotTo(ContainSubstring(secret))
			}
		}
		// The few bookings need not reach every daemon.
		Expect(all).To(MatchRegexp(`buckthornlatch_attempts_total\{class="once",verdict="ran"\} [1-9]`))
	})
})
