package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	changeSeed   = 4801
	changeRounds = 3
	// changeSettled is the number of equal answers in a row that end a measurement.
	changeSettled = 20
)

// changeCase adds and deletes routes under load.
func changeCase(f *fleet) {
	everywhere := f.mixed(changeSeed, f.hosts)
	longest := window{}
	for round := range changeRounds {
		name := fmt.Sprintf("late-%d", round)
		add := fmt.Sprintf("[[route]]\nid = %q\nowner = \"senderos\"\nservice = \"reservas\"\n"+
			"path_prefix = \"/%s\"\nmethods = [\"GET\"]\nidempotent = true\nopen_to_all = true\n", name, name)
		remove := fmt.Sprintf("[[delete]]\nkind = \"route\"\nid = %q\n", name)
		longest.note(f.expectInForce(f.hosts[round], f.writeFile(name+".toml", add), "/"+name, http.StatusOK))
		longest.note(f.expectInForce(f.hosts[round+1], f.writeFile(name+"-delete.toml", remove), "/"+name, http.StatusNotFound))
	}
	GinkgoWriter.Printf("longest time to be in force everywhere, from the start of the command: %v\n", longest.longest.Round(time.Millisecond))
	Expect(longest.longest).To(BeNumerically("<=", forceBound))
	everywhere.check()
}

// expectInForce applies a file and returns the time until the last daemon
// answered a path for the last time with another status than the wanted one.
func (f *fleet) expectInForce(through *host, file, path string, want int) time.Duration {
	GinkgoHelper()
	last := make([]time.Time, hostCount)
	settled := make([]bool, hostCount)
	callers := make([]*caller, hostCount)
	for i := range f.hosts {
		callers[i] = newCaller(f.keys[largeCustomer], callerTimeout)
	}
	began := time.Now()
	var wait sync.WaitGroup
	for i, h := range f.hosts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			last[i], settled[i] = untilStatus(callers[i], h, path, want, began.Add(2*forceBound))
		}()
	}
	_, err := f.apply(f.operators[0], through, file)
	wait.Wait()
	Expect(err).NotTo(HaveOccurred())
	longest := window{}
	for i, h := range f.hosts {
		Expect(settled[i]).To(BeTrue(), "%s did not take the change over", h.name)
		longest.note(last[i].Sub(began))
	}
	return longest.longest
}

// untilStatus sends look-ups until a status came several times in a row, and
// returns the time at which the last other one was sent.
func untilStatus(c *caller, h *host, path string, want int, stop time.Time) (time.Time, bool) {
	last, same := time.Time{}, 0
	for time.Now().Before(stop) {
		at := time.Now()
		if r := c.send(http.MethodGet, h.url()+path, "", "", nil); r.status == want {
			same++
		} else {
			last, same = at, 0
		}
		if same >= changeSettled {
			return last, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last, false
}
