// Package roster holds what is known of the hosts: their address, failure domain and the state of their target.
//
// Each daemon writes one record of its own host. Daemons read all records from the store; a record says which
// service runs behind a host's gate. It is a hint: the gate itself decides about each attempt, so an old record
// costs a refused attempt and never a wrong run.
package roster
