package faultproxy

// direction is one of the two byte streams of a connection.
type direction int

const (
	toServer direction = iota
	toClient
)
