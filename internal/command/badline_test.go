package command_test

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

// runBad runs a subcommand that must fail at once, and returns its error.
func runBad(run func(context.Context, *bytes.Buffer) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return run(ctx, &bytes.Buffer{})
}

// Guards against a script that takes a wrong command line for a failure of the fleet, which it would try again.
var _ = DescribeTable("a wrong command line exits 2", func(run func(context.Context, *bytes.Buffer) error) {
	err := runBad(run)
	Expect(err).To(HaveOccurred())
	Expect(command.ExitCode(err)).To(Equal(command.ExitBadInput), err.Error())
},
	Entry("emulate alone", func(ctx context.Context, out *bytes.Buffer) error { return (&command.Emulate{}).Run(ctx, out) }),
	Entry("measure alone", func(ctx context.Context, out *bytes.Buffer) error { return (&command.Measure{}).Run(ctx, out) }),
	Entry("key alone", func(ctx context.Context, out *bytes.Buffer) error { return (&command.Key{}).Run(ctx, out) }),
	Entry("catalogue alone", func(ctx context.Context, out *bytes.Buffer) error { return (&command.Catalogue{}).Run(ctx, out) }),
	Entry("check of nothing", func(ctx context.Context, out *bytes.Buffer) error { return (&command.Check{}).Run(ctx, out) }),
	Entry("a target without a service", func(ctx context.Context, out *bytes.Buffer) error {
		c := &command.EmulateTarget{Control: "127.0.0.1:0", Targets: []string{"walks"}, Slots: 1, ServiceTime: time.Second}
		return c.Run(ctx, out)
	}),
	Entry("load without a daemon", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.Load{Plan: "../../examples/chubut/load.toml", Keys: "unused"}).Run(ctx, out)
	}),
)
