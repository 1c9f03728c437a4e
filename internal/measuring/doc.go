// Package measuring groups what measures the product and is no part of it: capacity (what a daemon costs), load (callers
// and what they see), experiment (a fleet with faults in one process), healthsim and ratesim (simulations of one decision
// each), and faultproxy (faults on connections).
package measuring
