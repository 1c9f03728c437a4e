// Package settings holds the static settings of one daemon, read from a TOML
// file at startup. What operators change while the daemon serves is in the catalogue.
//
// docs/settings.md lists every setting with its default and unit. Load reports
// all errors of a file at once, with their lines; `check` and `serve` both use it.
package settings
