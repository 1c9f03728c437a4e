package command_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

var _ = Describe("example catalogues", func() {
	// Guards against examples that fail the check or differ in size from what docs/design.md states.
	DescribeTable("are valid", func(name, want string) {
		check := &command.Check{Catalogue: []string{"../../examples/" + name + "/catalogue.toml"}}
		var out bytes.Buffer
		Expect(check.Run(context.Background(), &out)).To(Succeed())
		Expect(out.String()).To(Equal(want))
	},
		Entry("chubut", "chubut", "catalogue: 27 entries are valid\n"),
		Entry("latvia", "latvia", "catalogue: 23 entries are valid\n"),
	)
})
