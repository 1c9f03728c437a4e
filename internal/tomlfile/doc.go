// Package tomlfile decodes TOML files into structs. It reports all faults of a
// file together, each with file, line, key and reason.
//
// Struct fields carry a `toml` tag. Supported field types are string, bool,
// int, int64, float64, time.Duration (written as a string with its unit, for
// example "250ms"), []string, structs and slices of structs. Syntax errors,
// unknown keys, values of the wrong type and durations without a unit are
// faults.
package tomlfile
