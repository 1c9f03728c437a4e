// Package crowd holds tests of the real programs under callers that do not behave. Its code is in test files.
//
// Each spec starts a process on loopback with lowered limits in its settings, sends a crowd of one kind to one of its ports, and checks
// that the process lives, that its resident memory and its open descriptors have stayed under the limits of its settings, and that
// one ordinary request is answered afterwards. It checks no times and no share of served requests. The size of each crowd is fixed.
//
// The specs read /proc and run on Linux only, one at a time and apart from other packages (scripts/test).
package crowd
