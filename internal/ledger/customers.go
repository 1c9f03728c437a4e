package ledger

import "buckthornlatch.example/buckthornlatch/internal/id"

// customers assigns a number to each customer that had a claim, and counts its claims.
type customers struct {
	index map[id.CustomerID]uint32
	names []id.CustomerID
	count []int
}

// lookup returns the number of a customer, assigning one if it has none.
func (c *customers) lookup(name id.CustomerID) uint32 {
	if i, ok := c.index[name]; ok {
		return i
	}
	i := uint32(len(c.names))
	c.index[name] = i
	c.names = append(c.names, name)
	c.count = append(c.count, 0)
	return i
}

// claims returns the number of claims of a customer.
func (c *customers) claims(name id.CustomerID) int {
	if i, ok := c.index[name]; ok {
		return c.count[i]
	}
	return 0
}
