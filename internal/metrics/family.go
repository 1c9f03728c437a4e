package metrics

// Other is the label value that stands for all values that are not listed.
const Other = "other"

// Family is a counter with one label, whose values are limited to a list and Other.
type Family struct {
	known map[string]Counter
	other Counter
}

// newFamily creates the counters of the listed values and of Other; fixed labels are added to each.
func newFamily(scope Scope, name, label string, values []string, fixed ...Label) Family {
	f := Family{known: make(map[string]Counter, len(values))}
	create := func(value string) Counter {
		return scope.Counter(name, append([]Label{{label, value}}, fixed...)...)
	}
	for _, value := range values {
		f.known[value] = create(value)
	}
	f.other = create(Other)
	return f
}

// Inc increments the counter of a label value, or that of Other if the value is not listed.
func (f Family) Inc(value string) {
	if counter, ok := f.known[value]; ok {
		counter.Inc(1)
		return
	}
	f.other.Inc(1)
}
