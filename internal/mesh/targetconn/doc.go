// Package targetconn sends requests to one target over HTTP/1.1 connections, one request at a time on each.
//
// It reads answers with net/http but keeps its own connections, because a faulty target may send a second answer
// late, where the next one is expected. The answer's echo of the request's id tells the two apart, and the wrong one
// is skipped instead of being taken for the answer or costing the right one.
//
// A request is written once. A failure says whether a byte of it may have left this process. A connection with bytes
// that nobody asked for, or that was cut, is not used again.
package targetconn
