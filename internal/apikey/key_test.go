package apikey_test

import (
	"bytes"
	"crypto/rand"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/apikey"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// revoked is a set of revoked keys with one element.
type revoked catalogue.KeyID

func (r revoked) Contains(k catalogue.KeyID) bool { return catalogue.KeyID(r) == k }

var _ = Describe("Verify", func() {
	// Guards against accepting a key that is unknown, malformed, revoked or without a customer.
	It("accepts exactly the issued, unrevoked keys", func() {
		good, err := apikey.Issue(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		bad, err := apikey.Issue(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		orphan, err := apikey.Issue(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		s, err := catalogue.Build(1, catalogue.History{}, []catalogue.Entry{
			&catalogue.Customer{ID: "c"},
			&catalogue.Key{ID: good.ID, Customer: "c", Hash: good.Hash},
			&catalogue.Key{ID: bad.ID, Customer: "c", Hash: bad.Hash, Revoked: true},
			&catalogue.Key{ID: orphan.ID, Customer: "none", Hash: orphan.Hash},
		})
		Expect(err).NotTo(HaveOccurred())
		check := func(r apikey.Revocations, secret string) error {
			_, err := apikey.Verify(s, r, secret)
			return err
		}
		Expect(check(nil, good.Secret)).To(Succeed())
		Expect(check(revoked(good.ID), good.Secret)).To(MatchError(apikey.ErrRevoked))
		Expect(check(nil, bad.Secret)).To(MatchError(apikey.ErrRevoked))
		Expect(check(nil, orphan.Secret)).To(MatchError(apikey.ErrNoCustomer))
		Expect(check(nil, good.Secret+"x")).To(MatchError(apikey.ErrMalformed))
		Expect(check(nil, good.Secret[:len(good.Secret)-1]+"%")).To(MatchError(apikey.ErrMalformed))
		other, err := apikey.Issue(bytes.NewReader(make([]byte, 64)))
		Expect(err).NotTo(HaveOccurred())
		Expect(check(nil, other.Secret)).To(MatchError(apikey.ErrUnknown))
	})

	// Guards against leaking a secret to logs or errors through formatting.
	It("does not format the secret", func() {
		issued, err := apikey.Issue(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		for _, form := range []string{"%v", "%+v", "%#v", "%s"} {
			Expect(fmt.Sprintf(form, issued)).To(Equal(string(issued.ID)))
		}
	})
})
