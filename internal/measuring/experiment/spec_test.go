package experiment_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/experiment"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// Guards against a time that cannot be meant and is ignored or taken for another one.
var _ = Describe("Files with impossible times", func() {
	write := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "file.toml")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}
	const spec = "catalogue = \"c\"\nload = \"l\"\nduration = \"10s\"\n[targets]\nhosts_per_service = 1\nslots = 1\n" +
		"service_time = \"1ms\"\ncold_start = \"0s\"\n[[events]]\nat = \"1s\"\nplatform = \"down\"\n"

	It("reads a file without one", func() {
		_, err := experiment.ReadSpec(write(spec))
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("refuses an experiment",
		func(old, replacement, key string) {
			_, err := experiment.ReadSpec(write(strings.Replace(spec, old, replacement, 1)))
			Expect(err).To(MatchError(And(ContainSubstring(key), ContainSubstring("negative"))))
		},
		Entry(nil, `duration = "10s"`, `duration = "-10s"`, "duration"),
		Entry(nil, `cold_start = "0s"`, `cold_start = "-1s"`, "targets.cold_start"),
		Entry(nil, `at = "1s"`, `at = "-1s"`, "events[0].at"),
	)

	It("refuses a load plan whose callers wait for no time", func() {
		plan := func(timeout string) string {
			return write("duration = \"1s\"\ntimeout = \"" + timeout + "\"\n[[customers]]\nid = \"a\"\nrate_per_second = 1\n" +
				"[[customers.operations]]\nmethod = \"GET\"\npath = \"/\"\nweight = 1\nidempotent = true\n")
		}
		_, err := load.ReadPlan(plan("1s"))
		Expect(err).NotTo(HaveOccurred())
		for _, timeout := range []string{"0s", "-1s"} {
			_, err = load.ReadPlan(plan(timeout))
			Expect(err).To(MatchError(ContainSubstring("timeout")), timeout)
		}
	})
})
