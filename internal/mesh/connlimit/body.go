package connlimit

// bodyState is what is being received of a body.
type bodyState int

const (
	// bodyUnknown bodies have no known end. All further bytes of the connection count as theirs.
	bodyUnknown bodyState = iota
	// bodyCounted bodies have a length.
	bodyCounted
	// The states of a chunked body: the line with a chunk's size and the rest of that line, the chunk and the line end behind it, and
	// the lines behind the last chunk.
	chunkSize
	chunkSizeRest
	chunkData
	chunkEnd
	trailer
	bodyDone
)

const (
	// bufferedBytes is how much of a body the entry and the gate hold in memory.
	bufferedBytes = 64 << 10
	// streamBytes is the charge for passing on a body that is longer.
	streamBytes = 32 << 10
	// maxSizeDigits bounds the digits of a chunk's size.
	maxSizeDigits = 15
)

// body follows a body to its end.
type body struct {
	state bodyState
	// left is what is missing of a counted body or of a chunk.
	left int64
	// length is that of a counted body, received what has come of any.
	length, received int64
	digits           int
	// lineBytes counts the bytes of the current trailer line without line ends.
	lineBytes int
	charged   int64
}

// charge returns what is to be charged for the body in addition to what was charged before. A body with a length is charged for its
// buffer at once, since that is allocated before it has come; another as it comes, twice, since its buffer grows by copying.
func (b *body) charge() int64 {
	total := min(b.length, bufferedBytes)
	if b.length == 0 {
		total = 2 * min(b.received, bufferedBytes)
	}
	if max(b.received, b.length) > bufferedBytes {
		total += streamBytes
	}
	more := total - b.charged
	b.charged = total
	return more
}

// consume takes bytes that were received and returns how many of them belong to the body.
func (b *body) consume(data []byte) int {
	used := 0
	for used < len(data) && b.state != bodyDone {
		used += b.step(data[used:])
	}
	b.received += int64(used)
	return used
}

// step takes at least one byte.
func (b *body) step(data []byte) int {
	switch b.state {
	case bodyCounted, chunkData:
		n := min(b.left, int64(len(data)))
		b.left -= n
		if b.left == 0 {
			b.state = map[bodyState]bodyState{bodyCounted: bodyDone, chunkData: chunkEnd}[b.state]
		}
		return int(n)
	case chunkSize:
		b.sizeByte(data[0])
	case chunkSizeRest:
		if data[0] == '\n' {
			b.beginChunk()
		}
	case chunkEnd:
		switch data[0] {
		case '\r':
		case '\n':
			b.state, b.left, b.digits = chunkSize, 0, 0
		default:
			b.state = bodyUnknown
		}
	case trailer:
		switch data[0] {
		case '\r':
		case '\n':
			if b.lineBytes == 0 {
				b.state = bodyDone
			}
			b.lineBytes = 0
		default:
			b.lineBytes++
		}
	default:
		return len(data)
	}
	return 1
}

// sizeByte takes a byte of a chunk's size.
func (b *body) sizeByte(c byte) {
	digit := int64(-1)
	switch {
	case c >= '0' && c <= '9':
		digit = int64(c - '0')
	case c >= 'a' && c <= 'f':
		digit = int64(c-'a') + 10
	case c >= 'A' && c <= 'F':
		digit = int64(c-'A') + 10
	}
	switch {
	case digit >= 0 && b.digits < maxSizeDigits:
		b.left = b.left<<4 | digit
		b.digits++
	case digit >= 0 || b.digits == 0:
		b.state = bodyUnknown
	case c == '\n':
		b.beginChunk()
	default:
		b.state = chunkSizeRest
	}
}

// beginChunk begins a chunk whose size is known.
func (b *body) beginChunk() {
	b.state = chunkData
	if b.left == 0 {
		b.state, b.lineBytes = trailer, 0
	}
}
