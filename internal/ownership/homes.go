package ownership

// MaxHomes is the largest number of homes that a duty may have.
const MaxHomes = 8

// homes lists a duty's homes as indexes into the roster's members, highest score first.
type homes struct {
	count   uint8
	members [MaxHomes]uint16
}

// candidate is a roster member with its score for one duty; member is its index.
type candidate struct {
	score  uint64
	member uint16
}

// before orders candidates by descending score. Members are sorted by host, so ties are broken by host name.
func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.member < other.member
}

// ranking keeps the best few candidates of one failure domain, best first.
type ranking struct {
	best  [MaxHomes]candidate
	count int
}

// insert adds a candidate if it is among the best limit candidates.
func (r *ranking) insert(c candidate, limit int) {
	i := r.count
	for i > 0 && c.before(r.best[i-1]) {
		i--
	}
	if i >= limit {
		return
	}
	r.count = min(r.count+1, limit)
	copy(r.best[i+1:r.count], r.best[i:r.count-1])
	r.best[i] = c
}
