// Package target emulates back ends with gray failures: a server with a few
// slots whose health page stays fine while its work fails, slows down, hangs
// or crashes. It announces itself to a gate and counts every run by request
// id, which makes it the authority on duplicates and losses in experiments.
package target
