// Package limits enforces the customers' rate limits across the fleet.
//
// A customer's rate is split over a few hosts, its homes, which grant tokens to the entries (see package ratelimit).
// Homes are computed from the roster by rendezvous hashing, so that no host has to assign them. An entry that cannot
// reach a home goes without that home's part of the rate. Among hosts with the same roster, the parts add up to no more
// than the rate, whichever hosts are partitioned.
package limits
