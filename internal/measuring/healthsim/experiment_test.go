package healthsim_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/measuring/healthsim"
)

var (
	seeds     = flag.Int("seeds", 8, "runs per row of BenchmarkExperiment, with the seeds 1, 2, ...")
	scenarios = flag.String("scenarios", "", "scenarios of BenchmarkExperiment, separated by commas; all when empty")
)

// TestRunIsReproducible guards against runs that depend on anything but their seed.
func TestRunIsReproducible(t *testing.T) {
	first := healthsim.Run(healthsim.Latvia(), healthsim.Gray, healthsim.Judged, 3)
	second := healthsim.Run(healthsim.Latvia(), healthsim.Gray, healthsim.Judged, 3)
	if first.Requests == 0 || first.Requests != second.Requests || first.Ejected != second.Ejected || first.P99 != second.P99 {
		t.Fatalf("two runs with one seed differ: %+v and %+v", first, second)
	}
}

// TestOutcomes guards against slow detection at both deployments: a gray, hanging or slow target is
// out of service within 2 s.
func TestOutcomes(t *testing.T) {
	for _, d := range []healthsim.Deployment{healthsim.Chubut(), healthsim.Latvia()} {
		for _, s := range []healthsim.Scenario{healthsim.Gray, healthsim.Hang, healthsim.Slow} {
			row := healthsim.Measure(d, s, healthsim.Judged, 1, 2)
			if row.Detected != row.Runs || row.EjectedWorstMs > 2000 {
				t.Errorf("%s %s: detected in %d of %d runs, worst %d ms", d.Name, s, row.Detected, row.Runs, row.EjectedWorstMs)
			}
		}
	}
}

// BenchmarkExperiment prints the table of docs/health.md.
func BenchmarkExperiment(b *testing.B) {
	for range b.N {
		report := healthsim.Report{FirstSeed: 1}
		if *scenarios == "" {
			report = healthsim.Experiment(1, *seeds)
		}
		for _, name := range strings.FieldsFunc(*scenarios, func(r rune) bool { return r == ',' }) {
			for _, d := range []healthsim.Deployment{healthsim.Chubut(), healthsim.Latvia()} {
				row := healthsim.Measure(d, healthsim.Scenario(name), healthsim.Judged, 1, *seeds)
				report.Rows = append(report.Rows, row)
			}
		}
		if err := report.WriteTable(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPoison prints the table of targets that a poison request takes.
func BenchmarkPoison(b *testing.B) {
	for range b.N {
		if err := healthsim.WritePoisonTable(healthsim.PoisonExperiment(1, *seeds), os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
