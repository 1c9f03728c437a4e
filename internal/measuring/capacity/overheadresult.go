package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// OverheadResult is one path under one load.
type OverheadResult struct {
	Path string `json:"path"`
	// Rate is the offered load in requests per second; zero for the closed loop.
	Rate     float64 `json:"rate_per_second"`
	Requests int64   `json:"requests"`
	Failed   int64   `json:"failed"`
	// P50, P99 and P999 are latencies in milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// AddedP50 to AddedP999 are the differences to the direct path in milliseconds, and RatioP50 and
	// RatioP99 the quotients.
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p999_ms"`
	RatioP50  float64 `json:"ratio_p50"`
	RatioP99  float64 `json:"ratio_p99"`
	// CPUMicros is processor time per request, and Allocated bytes per request, both of the whole
	// process without its idle use.
	CPUMicros float64 `json:"cpu_us_per_request"`
	Allocated float64 `json:"allocated_bytes_per_request"`
	// AddedCPUMicros and AddedAllocated are above the direct path: the daemons' part. PerCore is the
	// requests per second that one core carries by AddedCPUMicros; zero for the direct path.
	AddedCPUMicros float64 `json:"added_cpu_us_per_request"`
	AddedAllocated float64 `json:"added_allocated_bytes_per_request"`
	PerCore        float64 `json:"requests_per_second_per_core"`
}

// result compares a sample with the direct path's.
func (r *overheadRun) result(p *path, rate float64, s, base *sample) OverheadResult {
	cpu, allocated := r.perRequest(s)
	baseCPU, baseAllocated := r.perRequest(base)
	result := OverheadResult{
		Path:           p.name,
		Rate:           rate,
		Requests:       s.latencies.TotalCount(),
		Failed:         s.failed.Load(),
		P50:            s.quantile(50),
		P99:            s.quantile(99),
		P999:           s.quantile(99.9),
		AddedP50:       s.quantile(50) - base.quantile(50),
		AddedP99:       s.quantile(99) - base.quantile(99),
		AddedP999:      s.quantile(99.9) - base.quantile(99.9),
		RatioP50:       s.quantile(50) / base.quantile(50),
		RatioP99:       s.quantile(99) / base.quantile(99),
		CPUMicros:      cpu,
		Allocated:      allocated,
		AddedCPUMicros: cpu - baseCPU,
		AddedAllocated: allocated - baseAllocated,
	}
	if result.AddedCPUMicros > 0 {
		result.PerCore = 1e6 / result.AddedCPUMicros
	}
	return result
}

// perRequest returns processor time in microseconds and allocated bytes per request.
func (r *overheadRun) perRequest(s *sample) (cpuMicros, allocated float64) {
	n := float64(s.latencies.TotalCount())
	cpuMicros = (s.cpu.Seconds() - r.idleCPU*s.seconds) * 1e6 / n
	allocated = (float64(s.allocated) - r.idleAllocated*s.seconds) / n
	return cpuMicros, allocated
}

// WriteOverhead prints the results as a table.
func WriteOverhead(out io.Writer, results []OverheadResult) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpath\trequests\tfailed\tp50 ms\tp99 ms\tp99.9 ms\tadded p50\tadded p99\tadded p99.9\t"+
		"ratio p50\tratio p99\tadded CPU us\tper core\tadded alloc B")
	for _, r := range results {
		name := "closed"
		if r.Rate > 0 {
			name = fmt.Sprintf("%.0f/s", r.Rate)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			name, r.Path, r.Requests, r.Failed, r.P50, r.P99, r.P999, r.AddedP50, r.AddedP99, r.AddedP999,
			r.RatioP50, r.RatioP99, r.AddedCPUMicros, r.PerCore, r.AddedAllocated)
	}
	return w.Flush()
}
