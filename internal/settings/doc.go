// Package settings holds the static settings of one daemon, read from a TOML
// file at startup. What operators change while traffic runs is in the catalogue.
//
// docs/settings.md lists every setting with its default and unit. Load reports
// all defects of a file at once, with position; `check` and `serve` share it.
package settings
