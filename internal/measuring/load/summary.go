package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicroseconds bounds the histogram; longer latencies are counted there.
	maxLatencyMicroseconds = int64(120 * time.Second / time.Microsecond)
	// histogramDigits is the number of significant decimal digits.
	histogramDigits = 3
)

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Count is a number of requests with the same label.
type Count struct {
	Label string `json:"label"`
	N     int    `json:"n"`
}

// CustomerSummary describes how one customer fared.
type CustomerSummary struct {
	Customer string `json:"customer"`
	Sent     int    `json:"sent"`
	// Conforming counts requests inside the customer's rate; ServedConforming those of them that were served.
	Conforming       int     `json:"conforming"`
	ServedConforming int     `json:"served_conforming"`
	Latency          Latency `json:"latency"`
	// WrongfulRefusals counts rate refusals of requests inside the customer's rate.
	WrongfulRefusals int `json:"wrongful_refusals"`
}

// Share is the served part of the requests inside the customer's rate.
func (c CustomerSummary) Share() float64 {
	if c.Conforming == 0 {
		return 1
	}
	return float64(c.ServedConforming) / float64(c.Conforming)
}

// Summary is the result of a run.
type Summary struct {
	Sent      int               `json:"sent"`
	Outcomes  []Count           `json:"outcomes"`
	Codes     []Count           `json:"codes"`
	Latency   Latency           `json:"latency"`
	Customers []CustomerSummary `json:"customers"`
	Overruns  int               `json:"overruns"`
	Seconds   float64           `json:"seconds"`
}

// Summarize counts a history.
func Summarize(history History) Summary {
	outcomes := make(map[string]int)
	codes := make(map[string]int)
	customers := make(map[string][]Record)
	for _, record := range history.Records {
		outcomes[string(record.Outcome)]++
		if record.Code != "" {
			codes[record.Code]++
		}
		customers[record.Customer] = append(customers[record.Customer], record)
	}
	return Summary{
		Sent:      len(history.Records),
		Outcomes:  sortedCounts(outcomes),
		Codes:     sortedCounts(codes),
		Latency:   latencyOf(history.Records),
		Customers: customerSummaries(customers),
		Overruns:  history.Overruns,
		Seconds:   history.Elapsed.Seconds(),
	}
}

// customerSummaries counts per customer, sorted by id.
func customerSummaries(customers map[string][]Record) []CustomerSummary {
	var out []CustomerSummary
	for customer, records := range customers {
		summary := CustomerSummary{Customer: customer, Sent: len(records), Latency: latencyOf(records)}
		for _, record := range records {
			if !record.Conforming {
				continue
			}
			summary.Conforming++
			if record.Outcome == Served {
				summary.ServedConforming++
			}
			if record.Code == "rate-exceeded" {
				summary.WrongfulRefusals++
			}
		}
		out = append(out, summary)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// latencyOf returns the quantiles of the served requests.
func latencyOf(records []Record) Latency {
	histogram := hdrhistogram.New(1, maxLatencyMicroseconds, histogramDigits)
	for _, record := range records {
		if record.Outcome == Served {
			_ = histogram.RecordValue(min(record.Latency.Microseconds(), maxLatencyMicroseconds))
		}
	}
	ms := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Latency{P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(histogram.Max()) / 1000}
}

// sortedCounts turns a count into a list, largest first.
func sortedCounts(counts map[string]int) []Count {
	out := make([]Count, 0, len(counts))
	for label, n := range counts {
		out = append(out, Count{Label: label, N: n})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].N != out[j].N {
			return out[i].N > out[j].N
		}
		return out[i].Label < out[j].Label
	})
	return out
}
