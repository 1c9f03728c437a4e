package id

// Epoch counts the registrations of a host slot. A higher epoch supersedes every lower one.
type Epoch uint64

// Incarnation identifies one process on a host slot, registered or not.
type Incarnation uint64
