// Package httpstrict refuses HTTP/1 responses that net/http's client accepts although they
// are invalid under RFC 9110 and RFC 9112.
//
// net/http reads the messages. It refuses most violations of the grammar itself, among them
// control bytes in field names and values, several lengths, and unknown transfer codings.
// This package adds what it lets through:
//
//   - a status outside 100 to 599 (RFC 9110, 15), a major version other than 1 (RFC 9110,
//     2.5) and a reason phrase with control bytes (RFC 9112, 4);
//   - 101 (Switching Protocols), since no request here asks for another protocol (RFC 9110,
//     15.2.2);
//   - a field name that is no token, in final heads, interim heads and trailers (RFC 9110,
//     5.1): net/http keeps names with blanks as they are, so that a length or a transfer
//     coding with a blank before its colon doesn't count;
//   - an HTTP/1.0 response with a transfer coding (RFC 9112, 6.1), which net/http ignores, so
//     that the chunks become the body;
//   - the end of a connection that was reset, where the writer of the request has taken the
//     error from the socket and the reader sees an end of file (Conn).
//
// Left as net/http does them, as the standard allows: a folded line counts as one blank
// (RFC 9112, 5.2), a transfer coding overrides a length beside it (RFC 9112, 6.3), a later
// minor version counts as 1.1, and further blanks before the status are skipped.
package httpstrict
