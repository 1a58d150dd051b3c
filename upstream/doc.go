// Package upstream exchanges requests with the instance beside the node over
// a pool of HTTP/1.1 connections, one request at a time on each.
//
// net/http's client is not used, since it may take an answer that arrives late
// for that of the next request. Here every answer must echo the ID of its
// request: an answer with another ID is skipped, and a connection on which
// bytes follow an answer is not used again.
//
// The outcome of an exchange says whether the instance can have run the
// request: ErrNotSent proves that it has not; any other error does not.
//
// Limits: requests and answers are held in memory as a whole; the caller
// bounds the former, Limits.MaxBodyBytes the latter and Limits.BodyBudget all that
// are being read. The head of an answer, with the interim answers before it, is
// bounded by headBytes. An exchange ends with its context; what is longer than it
// may be is not read to its end, the connection is closed at once.
package upstream
