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
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
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

// Guards against a time, a number or a seed that cannot be meant and is replaced in silence, or ends in a panic or an
// endless run.
var _ = DescribeTable("an impossible value exits 2 and names its flag",
	func(flag string, run func(context.Context, *bytes.Buffer) error) {
		err := runBad(run)
		Expect(err).To(MatchError(ContainSubstring(flag)))
		Expect(command.ExitCode(err)).To(Equal(command.ExitBadInput))
	},
	Entry(nil, "--duration", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.Load{Plan: "../../examples/chubut/load.toml", Keys: "unused", Daemons: []string{"http://127.0.0.1:1"}, Duration: -time.Second}).Run(ctx, out)
	}),
	Entry(nil, "--lifetime", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.Devcerts{Dir: GinkgoT().TempDir(), PeerName: "peer", Lifetime: -time.Hour}).Run(ctx, out)
	}),
	Entry(nil, "--slots", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.EmulateTarget{Control: "127.0.0.1:0", Targets: []string{"a/b"}, ServiceTime: time.Second}).Run(ctx, out)
	}),
	Entry(nil, "--service-time", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.EmulateTarget{Control: "127.0.0.1:0", Targets: []string{"a/b"}, Slots: 1, ServiceTime: -1}).Run(ctx, out)
	}),
	Entry(nil, "--cold-start", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.EmulateTarget{Control: "127.0.0.1:0", Targets: []string{"a/b"}, Slots: 1, ServiceTime: 1, ColdStart: -1}).Run(ctx, out)
	}),
	Entry(nil, "--reads-per-second", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.EmulatePlatform{Listen: "127.0.0.1:0", Reads: -1}).Run(ctx, out)
	}),
	Entry(nil, "--writes-per-second", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.EmulatePlatform{Listen: "127.0.0.1:0", Writes: -1}).Run(ctx, out)
	}),
	Entry(nil, "--window", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasureControl{Standins: "127.0.0.1:1", Window: -1}).Run(ctx, out)
	}),
	Entry(nil, "--settle", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasureControl{Standins: "127.0.0.1:1", Window: 1, Settle: -1}).Run(ctx, out)
	}),
	Entry(nil, "--rate", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasureOverhead{Rates: []float64{0}, Slice: 1, Rounds: 1}).Run(ctx, out)
	}),
	Entry(nil, "--slice", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasureOverhead{Rounds: 1}).Run(ctx, out)
	}),
	Entry(nil, "--rounds", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasureOverhead{Slice: 1}).Run(ctx, out)
	}),
	Entry(nil, "--phase", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasurePlatform{Daemons: 1, Scale: 0.02, Changes: 1, Restarts: 1, Phase: -1}).Run(ctx, out)
	}),
	Entry(nil, "--changes-per-day", func(ctx context.Context, out *bytes.Buffer) error {
		return (&command.MeasurePlatform{Daemons: 1, Scale: 0.02, Restarts: 1, Phase: 1}).Run(ctx, out)
	}),
)
