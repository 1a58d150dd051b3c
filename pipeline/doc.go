// Package pipeline serves HTTP/1.1 callers that send further requests on a
// connection before the earlier ones are answered.
//
// net/http's server accepts the connections and reads the first head of each.
// The package then takes the connection over and goes on with net/http's
// parser: one goroutine reads ahead, every request runs on a goroutine of its
// own, and the answers leave in the order of the requests.
//
//   - An exchange that must not run beside others waits until all requests
//     before it are answered.
//   - An answer that closes the connection does so only as the last one that is
//     due; nothing is read after it. A request behind it has not run and never
//     will.
//   - The reading goroutine sees a caller leave at any time and cancels the
//     connection's requests.
//   - Heads with bare line ends, folded lines, two lengths, a length beside
//     chunks, or two hosts are rejected: two readers could split them
//     differently.
//
// Taking over only when a second request shows was weighed: the server's
// buffer hides bytes of it, and both ways would have to be kept. Taking over at
// the first request leaves one way, and saves the server's buffers of 8 KB and a
// goroutine for each request.
//
// Limits: Options.MaxPipelined requests of a connection are read and not yet
// answered; beyond that the connection isn't read, and a caller's leaving is
// seen when one of them is answered. Bodies are held whole; Options.BodyBudget
// bounds their sum.
package pipeline
