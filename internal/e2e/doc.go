// Package e2e holds the end-to-end tests of the binary: a platform emulator,
// four daemons in two failure domains and one target emulator per daemon run
// as processes of their own on loopback, and internal/measuring/load sends requests while
// the tests kill, stop and pause processes, cut connections, take the platform
// away and change the catalogue through the command line.
//
// The binary is built once with the race detector into a temporary directory.
// Every process is ended by its process id when the suite ends, also after a
// failure. Logs and settings stay in the temporary directory after a failure,
// and its path is printed. A data race or a panic in a log fails the suite.
//
// Between each daemon and the platform, and between each gate and its target,
// stands a fault proxy. Daemons dial each other directly, because a daemon
// publishes the peer address on which it listens.
//
// The suite is part of "go test ./...". A longer run with random faults is
// started by
//
//	BUCKTHORNLATCH_E2E_RANDOM=10m BUCKTHORNLATCH_E2E_SEED=1 \
//	  go test -v -count=1 -timeout 30m ./internal/e2e
//
// which runs only that test. The seed decides faults, hosts and times;
// its default is 1.
package e2e
