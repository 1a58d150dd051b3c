// Package upstream exchanges requests with the instance beside the node over
// a pool of HTTP/1.1 connections, one request at a time on each.
//
// net/http's client is not used, since it may take a response that arrives late
// for the response to the next request. Here every response must echo the ID of
// its request: a response with another ID is skipped, and a connection on which
// bytes follow a response is not used again. So that an ID names one request of its
// connection, a connection carries each ID once; a request that is sent again takes
// another connection. A response without an ID is never believed, nor what follows it.
//
// A response that breaks off and the next one on the connection may be read as one, with
// the status of the first and the ID, header and body of the second. A head that holds the
// beginning of a status line is therefore malformed, and so is a body that holds the
// beginning of a response to a request of the connection.
//
// The error of an exchange says whether the instance can have run the request:
// ErrNotSent proves that it has not, any other error does not.
//
// Requests and responses are held in memory as a whole. The caller bounds the
// requests, Limits.MaxBodyBytes each response body and Limits.BodyBudget all
// bodies that are being read. The head of a response, with the interim responses
// before it, is bounded by maxHeadBytes. An exchange ends with its context at the
// latest. A response that exceeds a limit is not read to its end: its connection
// is closed at once.
package upstream
