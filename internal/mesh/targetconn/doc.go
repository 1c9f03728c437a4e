// Package targetconn sends requests to one target over HTTP/1.1 connections, one request at a time on each.
//
// It parses responses with net/http but manages its own connections, because a faulty target may send a second
// response late, where the next one is expected. The request id that the target echoes tells the two apart. The stray
// response is skipped; it is neither taken for the right one nor does it fail the request.
//
// A target in trouble may send bytes without end. The head of a response is bounded by maxHeadBytes, its body by
// maxBodyBytes, the responses that are skipped by maxResponses and maxStrayBodyBytes, and all of it by the deadline. What
// exceeds a bound is no answer, or ends as a broken one, and closes the connection.
//
// What has no valid status line (hop.StatusLine) is no response: it is not passed on, it is no refusal, and it closes the
// connection.
//
// A request is written at most once. An error says whether a byte of it may have left this process. A connection that
// holds unsolicited bytes, or whose exchange was cut off, is not reused.
package targetconn
