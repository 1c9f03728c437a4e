package metrics

// Other is the label value of everything that is not listed.
const Other = "other"

// Family is a set of counters that differ in one label with listed values.
type Family struct {
	known map[string]Counter
	other Counter
}

// newFamily creates the counters of all values and of Other.
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

// Inc counts one event with the label's value.
func (f Family) Inc(value string) {
	if counter, ok := f.known[value]; ok {
		counter.Inc(1)
		return
	}
	f.other.Inc(1)
}
