// Package platform is the stand-in server for the platform: the in-memory
// engine behind twirp, with faults that can be switched while it runs.
//
// GET and PUT on /control/faults read and replace the faults as JSON. A down
// platform refuses every call without effect. A lost response is one whose
// write took effect before the connection was closed. Calls above a limit
// are refused without effect. The control endpoint is never faulty. All state
// is lost when the process ends.
package platform
