package ledger

import "buckthornlatch.example/buckthornlatch/internal/id"

// customers numbers the customers that have claims and counts their claims.
type customers struct {
	index map[id.CustomerID]uint32
	names []id.CustomerID
	count []int
}

// lookup returns the number of a customer, adding it when new.
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
