package memaccount

// HeadBytes returns the charge for a head: its raw bytes, with the copy that pipelining keeps, and its parsed fields. 700 heads of 1,500
// fields took 145 kB each (internal/mesh/crowd), and this charge is 222 kB: it also covers the copy that an attempt sends on.
func HeadBytes(length, fields int) int64 {
	const fieldBytes = 128
	return 2*int64(length) + fieldBytes*int64(fields)
}

// DefaultShare is the part of a host's memory that the account may use. The rest is for the state of the fleet and for the garbage
// between two collections, which begin at six tenths of the memory.
const DefaultShare = 0.4

// Plan returns the account of a host with so much memory and so many descriptors, of which fileDescriptors are not for connections. A
// quarter of the others is left for connections that the host opens itself.
func Plan(memory int64, descriptors int) *Account {
	size := int64(DefaultShare * float64(memory))
	conns := max(descriptors-fileDescriptors, descriptors/2)
	bound := func(bytes, descriptors float64) Bound {
		return Bound{Bytes: int64(bytes * float64(size)), Conns: max(int(descriptors*float64(conns)), minConns)}
	}
	return New(size, map[Owner]Bound{
		Callers: bound(0.75, 0.35), Peers: bound(0.75, 0.3), Targets: bound(0.125, 0.04), Probes: bound(0.125, 0.04), Operators: bound(0.125, 0.02),
	})
}

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// minConns is the least bound on the connections of an owner.
	minConns = 16
)
