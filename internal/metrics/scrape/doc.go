// Package scrape exports metrics to Prometheus, through tally and its Prometheus reporter.
//
// An update is visible to scrapes after at most about ReportPeriod. A histogram observes the upper bound of each
// sample's bucket instead of the sample, so its sum is an overestimate.
package scrape
