package capacity

// Size is the number of entries and targets of a generated fleet.
type Size struct {
	Hosts     int `json:"hosts"`
	Targets   int `json:"targets"`
	Services  int `json:"services"`
	Routes    int `json:"routes"`
	Customers int `json:"customers"`
	Keys      int `json:"keys"`
}

// FullSize is the fleet that is planned for.
var FullSize = Size{Hosts: 460, Targets: 4200, Services: 110, Routes: 3700, Customers: 21000, Keys: 42000}

// failureDomains is the number of failure domains of a generated fleet.
const failureDomains = 6

// Scaled returns the size with every count multiplied, at least one each.
func (s Size) Scaled(factor float64) Size {
	scale := func(n int) int { return max(1, int(float64(n)*factor+0.5)) }
	return Size{
		Hosts:     scale(s.Hosts),
		Targets:   scale(s.Targets),
		Services:  scale(s.Services),
		Routes:    scale(s.Routes),
		Customers: scale(s.Customers),
		Keys:      scale(s.Keys),
	}
}
