// Package hoptest provides targets' answers that break off, and a caller that judges what it got by its own bytes.
package hoptest
