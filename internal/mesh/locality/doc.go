// Package locality decides for one service which share of an entry's attempts that find no room in the entry's failure
// domain may leave the domain, and how long the others wait inside.
//
// An attempt that stays waits for a slot; the wait W is taken from what the gates inside expect and from waits that
// attempts had. An attempt that leaves takes the extra latency X of the outside, and finds room there with the
// probability Q; if not, it waits there for V, or comes back and waits for W all the same. Leaving thus saves
// W - (1-Q)*min(W, V) - X. The bytes cost money, for which a caller can wait as long as it loses nothing by it: its
// patience P. Leaving is worth it if it saves more than P.
//
// The share changes by steps while the comparison stays on one side of a dead band. It falls when attempts that left
// found no room, and a small share always leaves, to notice when that ends. Observations decay within seconds. Without
// any the share returns to 1: the domain is preferred, and what finds no room inside leaves.
//
// The package does no I/O and starts no goroutines. Decider is not safe for concurrent use.
package locality
