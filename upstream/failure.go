package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Cause is why an exchange failed after its request may have been sent.
type Cause string

// The causes of failed exchanges.
const (
	// CauseEnded means that the context ended.
	CauseEnded Cause = "ended"
	// CauseNoResponse means that the connection ended before the first byte of the response.
	CauseNoResponse Cause = "no-response"
	// CauseCut means that the connection ended within the response.
	CauseCut Cause = "cut"
	// CauseMalformed means that the bytes read are no response.
	CauseMalformed Cause = "malformed"
	// CauseSpliced means that two responses were read as one.
	CauseSpliced Cause = "spliced"
	// CauseLimit means that the response exceeds a limit.
	CauseLimit Cause = "limit"
	// CauseUnnamed means that a response names no request.
	CauseUnnamed Cause = "unnamed"
	// CauseMismatches means that too many responses to other requests were read.
	CauseMismatches Cause = "mismatches"
)

// Place is how far the reading of a response had come.
type Place string

// The places in a response.
const (
	PlaceHead Place = "head"
	PlaceBody Place = "body"
	PlaceEnd  Place = "end"
)

// Failure describes an exchange that failed after its request may have been sent.
type Failure struct {
	RequestID string
	Cause     Cause
	Err       error
	// Conn numbers the connections of the pool. Requests is the number of requests that
	// it has carried, with this one.
	Conn     int64
	Requests int
	// Skipped is the number of complete responses to other requests that were read.
	Skipped int
	// BytesRead counts the bytes that arrived after the request was written.
	BytesRead int64
	// Place, Status and ResponseID tell of the last response. Status and ResponseID are set
	// once its head has been read.
	Place      Place
	Status     int
	ResponseID string
	// Waiting is the time since the request was sent.
	Waiting time.Duration
}

// progress is how far an exchange has come.
type progress struct {
	skipped    int
	place      Place
	status     int
	responseID string
}

// failure describes the failed exchange of a request on the connection.
func (c *conn) failure(ctx context.Context, r *Request, err error) Failure {
	return Failure{
		RequestID: r.ID, Cause: c.causeOf(ctx, err), Err: err, Conn: c.number, Requests: len(c.history.hashes),
		Skipped: c.progress.skipped, BytesRead: c.limitReader.bytes, Place: c.progress.place,
		Status: c.progress.status, ResponseID: shortID(c.progress.responseID), Waiting: time.Since(c.history.last),
	}
}

func (c *conn) causeOf(ctx context.Context, err error) Cause {
	var connErr *net.OpError
	switch {
	case ctx.Err() != nil:
		return CauseEnded
	case errors.Is(err, errSpliced):
		return CauseSpliced
	case errors.Is(err, errUnnamed):
		return CauseUnnamed
	case errors.Is(err, errMismatches):
		return CauseMismatches
	case errors.Is(err, errLimitExceeded), errors.Is(err, errNoMemory):
		return CauseLimit
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &connErr):
		if c.limitReader.bytes == 0 {
			return CauseNoResponse
		}
		return CauseCut
	}
	return CauseMalformed
}

// recordFailure counts a failed exchange and reports it, unless its sender ended it.
func (p *Pool) recordFailure(f Failure) {
	p.FailedExchanges.Add(string(f.Cause), 1)
	if p.OnFailure != nil && f.Cause != CauseEnded {
		p.OnFailure(f)
	}
}

// closeReason is why the pool closed a connection.
type closeReason string

const (
	closeFailed    closeReason = "exchange-failed"
	closeWithdrawn closeReason = "withdrawn" // the request was not sent
	closeAsked     closeReason = "response-closes"
	closeTrailing  closeReason = "bytes-after-response"
	closeFull      closeReason = "requests-carried"
	closeUnnamed   closeReason = "request-without-id"
	closeIdle      closeReason = "idle"
	closeDead      closeReason = "ended-or-unsolicited-bytes"
)

// closeConn closes a connection and counts why.
func (p *Pool) closeConn(c *conn, why closeReason) {
	p.ClosedConns.Add(string(why), 1)
	c.close()
}

var (
	errUnnamed    = fmt.Errorf("%w: the response names no request", errMalformed)
	errMismatches = fmt.Errorf("%w: too many responses to other requests", errMalformed)
)
