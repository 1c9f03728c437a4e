package command

import (
	"errors"
	"fmt"
)

// flagRule is a condition that the value of a flag must meet.
type flagRule struct {
	flag string
	met  bool
	want string
}

const (
	aboveZero   = "must be above 0"
	notNegative = "must not be negative"
)

// checkFlags returns an *InputError that names the flags whose rules are not met.
func checkFlags(rules ...flagRule) error {
	var errs []error
	for _, r := range rules {
		if !r.met {
			errs = append(errs, fmt.Errorf("%s %s", r.flag, r.want))
		}
	}
	if len(errs) == 0 {
		return nil
	}
	return &InputError{Err: errors.Join(errs...)}
}
