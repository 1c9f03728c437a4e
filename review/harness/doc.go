// Command harness plays the cases of the review: it starts daemons of the project as separate processes on loopback, with
// stand-ins for the platform's store, the targets and the callers, and checks one rule of the platform's pages.
package main
