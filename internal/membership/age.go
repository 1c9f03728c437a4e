package membership

import "time"

const (
	// fineAgeUnit is the resolution of the ages that the freshness rule compares with its 10 s window.
	fineAgeUnit = 100 * time.Millisecond
	// fineAgeSteps is the number of codes with fineAgeUnit, up to 20 s.
	fineAgeSteps = 200
	// coarseAgeUnit is the resolution of older ages. The scale ends beyond DefaultForgetAfter.
	coarseAgeUnit = 15 * time.Second
	// unknownAge is the code for ages beyond the scale.
	unknownAge = 255
)

// encodeAge returns the one-byte code of an age, rounded up so that no host looks alive more recently than it was.
func encodeAge(age time.Duration) byte {
	if age < 0 {
		age = 0
	}
	if age <= fineAgeSteps*fineAgeUnit {
		return byte((age + fineAgeUnit - 1) / fineAgeUnit)
	}
	coarse := (age - fineAgeSteps*fineAgeUnit + coarseAgeUnit - 1) / coarseAgeUnit
	if fineAgeSteps+coarse >= unknownAge {
		return unknownAge
	}
	return byte(fineAgeSteps + coarse)
}

// decodeAge returns the age of a code, and false for ages beyond the scale.
func decodeAge(code byte) (time.Duration, bool) {
	if code == unknownAge {
		return 0, false
	}
	if code <= fineAgeSteps {
		return time.Duration(code) * fineAgeUnit, true
	}
	return fineAgeSteps*fineAgeUnit + time.Duration(code-fineAgeSteps)*coarseAgeUnit, true
}
