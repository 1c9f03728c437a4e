// Package scrape makes metrics readable by Prometheus, through tally and its Prometheus reporter.
//
// Values reach a scrape within ReportPeriod. A histogram observes the upper bound of each sample's bucket, so its
// sum is an upper estimate.
package scrape
