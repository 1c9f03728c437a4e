// Package limits applies the customers' rates across the fleet.
//
// A customer's rate is split over a few hosts, its homes, which grant tokens to the entries (see package ratelimit).
// Homes follow from the roster by rendezvous hashing, so that no host has to be named for it. An entry that cannot
// reach a home does without that home's part; the parts never add up to more than the rate, whoever is cut off.
package limits
