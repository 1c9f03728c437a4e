package entry_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a head that the gate accepts from the target and the entry refuses from the gate, so that the answer of a
// run is lost.
var _ = DescribeTable("A long head of a target's answer", func(from, to int, delivered bool) {
	const line, step = 4 << 10, 64
	bytes := from
	s := newStack(ginkgoCleaner{})
	s.addGate("t1", 2, func(w http.ResponseWriter, _ *http.Request) {
		for n, left := 0, bytes; left > 0; n, left = n+1, left-line {
			w.Header().Set(fmt.Sprintf("X-Note-%03d", n), strings.Repeat("a", max(min(left, line)-len("X-Note-000: \r\n"), 0)))
		}
		fmt.Fprint(w, "done")
	})
	for ; bytes <= to; bytes += step {
		got := s.do(s.request(http.MethodGet, "/book", nil))
		Expect(got.err).NotTo(HaveOccurred())
		if delivered || got.status == http.StatusOK {
			Expect(got.status).To(Equal(http.StatusOK), "%d bytes: %s", bytes, got.body)
			Expect(got.body).To(Equal("done"))
			continue
		}
		// The gate has refused it, which makes the outcome unknown. A lost answer would be 409.
		Expect(got.status).To(Equal(http.StatusBadGateway), "%d bytes: %s", bytes, got.body)
	}
},
	Entry("of 4 KiB", 4<<10, 4<<10, true),
	Entry("below the gate's bound", 250<<10, 251<<10, true),
	Entry("around the gate's bound", 255<<10, 257<<10, false),
	Entry("beyond the gate's bound", 300<<10, 300<<10, false),
)
