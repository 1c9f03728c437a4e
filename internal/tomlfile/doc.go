// Package tomlfile decodes TOML files into structs and reports every fault at
// once, each with file, line, key and reason.
//
// Struct fields carry a `toml` tag. Supported field types are string, bool,
// int, int64, float64, time.Duration (written as a string with its unit, for
// example "250ms"), []string, structs and slices of structs. A key without a
// field, a value of the wrong type and a duration without a unit are faults.
package tomlfile
