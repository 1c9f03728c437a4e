// Package healthsim measures the health policy in a discrete-event simulation
// without I/O: the time to detect a failing target, healthy targets ejected
// falsely, and what callers notice.
//
// The decision packages run unchanged: every host has a membership table, a
// balancer and a judge, and each service a permit home. Messages take the
// deployment's latency. Baselines replace the judge: no ejection, and ejection
// after consecutive errors without permits.
//
// A run is a function of its deployment, scenario, policy and seed.
package healthsim
