package e2e_test

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/platform"
)

const (
	racingSeed   = 4601
	racingRounds = 4
	// lostResponses is the fraction of the platform's writes whose response is lost.
	lostResponses = 0.4
	// repeatedSends bounds the repetitions of a command whose outcome is unknown.
	repeatedSends = 5
)

// racedCustomer is the entry that the operators edit.
const racedCustomer = "archivo"

// edit is one operator's change in one round.
type edit struct {
	operator operator
	host     *host
	changeID string
	file     string
	out      string
	err      error
}

// racingCase lets two operators edit one entry at once, based on one revision.
func racingCase(f *fleet) {
	everywhere := f.mixed(racingSeed, f.hosts)
	out, err := f.apply(f.operators[0], f.hosts[0], f.writeFile("raced.toml", customerText(racedCustomer, 10, 10, 0)))
	Expect(err).NotTo(HaveOccurred())
	base := revisionOf(out)
	f.setPlatform(platform.Faults{LoseResponses: lostResponses})
	var all []*edit
	for round := range racingRounds {
		pair := f.race(round, base)
		all = append(all, pair...)
		won := 0
		for _, e := range pair {
			if e.err == nil {
				won++
				base = revisionOf(e.out)
			} else {
				Expect(e.err).To(MatchError(ContainSubstring("current entries")), "%s", e.changeID)
			}
		}
		Expect(won).To(Equal(1), "round %d: %q %v, %q %v", round, pair[0].out, pair[0].err, pair[1].out, pair[1].err)
	}
	f.setPlatform(platform.Faults{})
	trail, err := f.command(f.operators[0], f.hosts[2], "audit")
	Expect(err).NotTo(HaveOccurred())
	for _, e := range all {
		records := strings.Count(trail, "change id "+e.changeID+" ")
		if e.err == nil {
			Expect(records).To(Equal(1), "accepted change %s", e.changeID)
			line := regexp.MustCompile(fmt.Sprintf(`(?m)^revision %d .* %s  change id %s `, revisionOf(e.out), e.operator.name, e.changeID))
			Expect(trail).To(MatchRegexp(line.String()))
		} else {
			Expect(records).To(BeZero(), "refused change %s", e.changeID)
		}
	}
	everywhere.check()
}

// race makes one round of two edits, each through another daemon.
func (f *fleet) race(round int, base uint64) []*edit {
	var pair []*edit
	var wait sync.WaitGroup
	for i, o := range f.operators {
		e := &edit{operator: o, host: f.hosts[(round+i)%hostCount], changeID: fmt.Sprintf("race-%d-%s", round, o.name)}
		e.file = f.writeFile(e.changeID+".toml", customerText(racedCustomer, 20+2*round+i, 50, base))
		pair = append(pair, e)
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.repeat(e)
		}()
	}
	wait.Wait()
	for _, e := range pair {
		GinkgoWriter.Printf("%s through %s: %q %v\n", e.changeID, e.host.name, e.out, e.err)
	}
	return pair
}

// repeat sends an edit until its outcome is known, as an operator would.
func (f *fleet) repeat(e *edit) {
	for range repeatedSends {
		e.out, e.err = f.apply(e.operator, e.host, e.file, "--change-id", e.changeID)
		if e.err == nil || !strings.Contains(e.err.Error(), "outcome unknown") {
			return
		}
	}
}

// revisionOf reads the revision that a command printed.
func revisionOf(out string) uint64 {
	GinkgoHelper()
	found := revisionPattern.FindStringSubmatch(out)
	Expect(found).NotTo(BeNil(), out)
	revision, err := strconv.ParseUint(found[1], 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return revision
}
