// Package pipeline serves HTTP/1.1 callers that pipeline requests: they send further
// requests on a connection before the earlier ones are answered.
//
// net/http's server accepts the connections and reads the first head of each.
// The package then hijacks the connection and continues with net/http's
// parser: one goroutine reads ahead, every request runs on a goroutine of its
// own, and the responses are sent in the order of the requests.
//
//   - An exclusive exchange waits until all earlier requests are answered.
//   - A response that closes the connection does so only if it is the last one due;
//     nothing is read after it. A request after it has not run and never will.
//   - The reading goroutine detects at any time that a caller has disconnected, and
//     cancels the connection's requests.
//   - Heads with bare line feeds, folded lines, two lengths, a length beside
//     chunked encoding, or two hosts are rejected: two parsers could split them
//     differently (request smuggling).
//
// Hijacking only when a second request arrives was considered, but the server's
// buffer hides bytes of it, and two code paths would have to be kept. Hijacking at
// the first request leaves one code path, and saves the server's buffers of 8 KB and
// a goroutine for each request.
//
// Limits: at most Options.MaxPipelined requests of a connection are read and not yet
// answered; beyond that the connection isn't read, and a disconnect is detected only
// when one of them is answered. Bodies are buffered whole; Options.BodyBudget
// bounds their sum.
package pipeline
