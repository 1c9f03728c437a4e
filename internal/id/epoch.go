package id

// Epoch counts the registrations of a host slot. A higher epoch supersedes every lower one.
type Epoch uint64

// Incarnation identifies one daemon process on a host slot, whether or not it is registered.
type Incarnation uint64
