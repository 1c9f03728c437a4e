package statesync_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Odd entries", func() {
	// Guards against one odd entry that stops a daemon, makes it lose the other entries, or makes it try a host that
	// cannot exist.
	DescribeTable("goes on following the roster beside an odd entry",
		func(key, value string) {
			store := newFakeStore()
			store.put("hosts/b:1", `{"host":"b:1","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":1}}`)
			n := start(store, "a:1")
			Eventually(func() bool { _, known := n.View().Find("b:1"); return known }, rosterWait).Should(BeTrue())
			store.put("hosts/"+key, value)
			store.put("hosts/c:1", `{"host":"c:1","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":1}}`)
			Eventually(func() bool { _, known := n.View().Find("c:1"); return known }, rosterWait).Should(BeTrue())
			found, known := n.View().Find("b:1")
			Expect(known).To(BeTrue())
			Expect(found.Slots).To(Equal(5))
			Expect(n.View().Hosts()).To(HaveLen(2))
			Expect(n.metrics.ignored.Load()).To(Equal(int64(1)))
		},
		Entry("nested 100,000 deep", "b:1", strings.Repeat(`{"host":`, 100_000)+`1`+strings.Repeat(`}`, 100_000)),
		Entry("an unknown field nested 100,000 deep", "b:1", `{"host":"b:1","x":`+strings.Repeat(`[`, 100_000)+strings.Repeat(`]`, 100_000)+`}`),
		Entry("slots beyond 64 bits", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":99999999999999999999}`),
		Entry("slots beyond any target", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":9223372036854775807}`),
		Entry("negative slots", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":-1}`),
		Entry("fractional slots", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":1.5}`),
		Entry("slots NaN", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":NaN}`),
		Entry("a start time in the far future", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":9223372036854775807}}`),
		Entry("a negative start time", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":-1}}`),
		Entry("port 0", "d:0", `{"host":"d:0","service":"walks","state":"serving","slots":5}`),
		Entry("port 65536", "d:65536", `{"host":"d:65536","service":"walks","state":"serving","slots":5}`),
		Entry("port -1", "d:-1", `{"host":"d:-1","service":"walks","state":"serving","slots":5}`),
		Entry("no port", "d", `{"host":"d","service":"walks","state":"serving","slots":5}`),
		Entry("no host", ":1", `{"host":":1","service":"walks","state":"serving","slots":5}`),
		Entry("an unknown state", "d:1", `{"host":"d:1","service":"walks","state":"odd","slots":5}`),
		Entry("a state of another type", "d:1", `{"host":"d:1","service":"walks","state":7,"slots":5}`),
		Entry("duplicate fields of which the last is wrong", "b:1", `{"host":"b:1","service":"walks","state":"serving","slots":5,"slots":"x"}`),
		Entry("a key of 1 MiB", strings.Repeat("k", 1<<20), `{"host":"d:1"}`),
		Entry("a service of 1 MiB and no state", "d:1", `{"host":"d:1","service":"`+strings.Repeat("s", 1<<20)+`"}`),
		Entry("bytes that are no text", "b:1", "\xff\x00\xfe"),
		Entry("nothing", "b:1", ""),
	)
})
