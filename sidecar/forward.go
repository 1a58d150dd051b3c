package sidecar

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/peer"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// kindCall is the message kind of a call from the entry node to the owner.
const kindCall = "call"

// callMessage carries a call to its owner node; the body follows it. The
// deadline is sent as the time remaining, so that the nodes' clocks need not
// be synchronised.
type callMessage struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Route       string
	Method      string
	Host        string
	Path        string
	Header      []string // alternating names and values, and a report
	Customer    string
	CallerID    string
	Origin      string
	Priority    uint8
	Idempotent  bool
	Depth       int
	LatencyMS   int64
	RemainingUS int64
}

// resultMessage carries a result back to the entry node; the body follows it.
type resultMessage struct {
	_            struct{} `cbor:",toarray"`
	Outcome      uint8
	Status       int
	Header       []string // alternating names and values, and a report
	Reason       string
	Detail       string
	RetryAfterMS int64
	InstanceLost bool
	Dispatched   bool
	HasLoad      bool
	Limit        int
	InFlight     int
	Queued       int
	Draining     bool
}

// lengthPrefixBytes is the size of the length prefix of an encoded message.
const lengthPrefixBytes = 4

var errShortMessage = errors.New("message is truncated")

// encodeMessage encodes a message with its length prefix and appends the body.
func encodeMessage(message any, body []byte) ([]byte, error) {
	head, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, lengthPrefixBytes+len(head)+len(body))
	out = binary.BigEndian.AppendUint32(out, uint32(len(head)))
	out = append(out, head...)
	return append(out, body...), nil
}

// decodeMessage decodes a message and returns the body, which shares data's memory.
func decodeMessage(data []byte, message any) ([]byte, error) {
	if len(data) < lengthPrefixBytes {
		return nil, errShortMessage
	}
	size := int64(binary.BigEndian.Uint32(data))
	if size > int64(len(data)-lengthPrefixBytes) {
		return nil, errShortMessage
	}
	head, body := data[lengthPrefixBytes:lengthPrefixBytes+size], data[lengthPrefixBytes+size:]
	if err := cbor.Unmarshal(head, message); err != nil {
		return nil, err
	}
	if len(body) == 0 {
		return nil, nil
	}
	return body, nil
}

// flattenHeader returns a header as alternating names and values.
func flattenHeader(h http.Header) []string {
	flat := make([]string, 0, 2*len(h))
	for name, values := range h {
		for _, v := range values {
			flat = append(flat, name, v)
		}
	}
	return flat
}

// report is what a message tells of an instance.
type report struct {
	*kernel.InstanceReport
	// Work is the work time now and its mean; empty if none is reported.
	Work []float64 `json:"work,omitempty"`
}

// workTimeDecimals is the factor by which work times are rounded for messages: bytes
// between failure domains are paid for.
const workTimeDecimals = 100

// appendReport appends what is known of an instance to a flattened header as an
// unpaired last element. The messages are arrays of fixed length, and builds that know
// no reports ignore an unpaired element. A work time without a report is an array in
// place of an object, so that builds that know only reports don't take it for one.
func appendReport(flat []string, known *kernel.InstanceReport, work kernel.WorkTime) []string {
	if known == nil && !work.Reported() {
		return flat
	}
	var element any = known
	if work.Reported() {
		rounded := []float64{roundWorkTime(work.Now), roundWorkTime(work.Mean)}
		element = rounded
		if known != nil {
			element = report{known, rounded}
		}
	}
	text, err := json.Marshal(element)
	if err != nil {
		panic("sidecar: " + err.Error()) // the fields of a report can always be encoded
	}
	return append(flat, string(text))
}

func roundWorkTime(value float64) float64 {
	return math.Round(kernel.BoundWorkTime(value)*workTimeDecimals) / workTimeDecimals
}

// reportOf returns the report that appendReport has appended, or nil.
func reportOf(flat []string) *kernel.InstanceReport {
	known, _ := appendedTo(flat)
	return known
}

// appendedTo returns what appendReport has appended. The report is nil if there is none,
// if it is of an unknown format, or if it says nothing that holds for longer than a
// work time, so that nobody keeps it.
func appendedTo(flat []string) (*kernel.InstanceReport, kernel.WorkTime) {
	if len(flat)%2 == 0 {
		return nil, kernel.WorkTime{}
	}
	var r report
	text := []byte(flat[len(flat)-1])
	if json.Unmarshal(text, &r.Work) == nil {
		return nil, workTimeOf(r.Work)
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, kernel.WorkTime{}
	}
	if r.InstanceReport == nil || r.RateLimit == 0 && !r.Leaving {
		return nil, workTimeOf(r.Work)
	}
	r.Age = max(r.Age, 0)
	return r.InstanceReport, workTimeOf(r.Work)
}

func workTimeOf(values []float64) kernel.WorkTime {
	if len(values) < 2 {
		return kernel.WorkTime{}
	}
	return kernel.WorkTime{Now: values[0], Mean: values[1]}.Bounded()
}

func unflattenHeader(flat []string) http.Header {
	h := make(http.Header, len(flat)/2)
	for i := 0; i+1 < len(flat); i += 2 {
		if old, repeated := h[flat[i]]; repeated {
			h[flat[i]] = append(old, flat[i+1])
			continue
		}
		h[flat[i]] = flat[i+1 : i+2 : i+2]
	}
	return h
}

// encodeCall returns the message of a call without its body, which must be sent
// after the message.
func encodeCall(c *kernel.Call, remaining time.Duration) ([]byte, error) {
	return encodeMessage(callMessage{
		Service: c.Service, Route: c.RouteName, Method: c.Method, Host: c.Host, Path: c.Path,
		Header: appendReport(flattenHeader(c.Header), c.Known, kernel.WorkTime{}), Customer: c.Customer, CallerID: c.CallerID, Origin: c.Origin,
		Priority: uint8(c.Priority), Idempotent: c.Idempotent, Depth: c.Depth, LatencyMS: c.TargetLatencyMS,
		RemainingUS: remaining.Microseconds(),
	}, nil)
}

// decodeCall returns the call of a message and the time remaining until its
// deadline.
func decodeCall(data []byte) (*kernel.Call, time.Duration, error) {
	var m callMessage
	body, err := decodeMessage(data, &m)
	if err != nil {
		return nil, 0, err
	}
	c := &kernel.Call{
		Service: m.Service, RouteName: m.Route, Method: m.Method, Host: m.Host, Path: m.Path,
		Header: unflattenHeader(m.Header), Body: body, Customer: m.Customer, CallerID: m.CallerID, Origin: m.Origin,
		Priority: config.Priority(m.Priority), Idempotent: m.Idempotent, Depth: m.Depth, TargetLatencyMS: m.LatencyMS,
		Known: reportOf(m.Header),
	}
	c.Fingerprint = Fingerprint(c)
	return c, time.Duration(m.RemainingUS) * time.Microsecond, nil
}

func encodeResult(r *kernel.Result) ([]byte, error) {
	m := resultMessage{
		Outcome: uint8(r.Outcome), Status: r.Status, Header: flattenHeader(r.Header),
		Reason: string(r.Reason), Detail: r.Detail, RetryAfterMS: r.RetryAfter.Milliseconds(),
		InstanceLost: r.InstanceLost, Dispatched: r.Dispatched,
	}
	if l := r.Load; l != nil {
		m.HasLoad = true
		m.Limit, m.InFlight, m.Queued = l.Limit, l.InFlight, l.Queued
		m.Draining = l.Draining
		m.Header = appendReport(m.Header, l.Report, l.Work)
	}
	return encodeMessage(m, r.Body)
}

func decodeResult(data []byte) (*kernel.Result, error) {
	var m resultMessage
	body, err := decodeMessage(data, &m)
	if err != nil {
		return nil, err
	}
	r := &kernel.Result{
		Outcome: kernel.Outcome(m.Outcome), Status: m.Status, Header: unflattenHeader(m.Header), Body: body,
		Reason: kernel.Reason(m.Reason), Detail: m.Detail, RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		InstanceLost: m.InstanceLost, Dispatched: m.Dispatched,
	}
	if m.HasLoad {
		r.Load = &kernel.Load{Limit: m.Limit, InFlight: m.InFlight, Queued: m.Queued, Draining: m.Draining}
		r.Load.Report, r.Load.Work = appendedTo(m.Header)
	}
	return r, nil
}

// Fingerprint returns a hash of service, method, host, path and body, which is
// the same for equal requests.
func Fingerprint(c *kernel.Call) uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Service, c.Method, c.Host, c.Path} {
		_, _ = d.WriteString(part) // writes to a hash never fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// forward sends a call to its owner node, or serves it if that is this node, and
// returns the owner's result.
func (n *Node) forward(ctx context.Context, owner state.Member, c *kernel.Call) *kernel.Result {
	if owner.ID == n.host.Self.ID {
		local := *c
		return n.serveAsOwner(ctx, &local)
	}
	remaining := c.Deadline().Sub(n.host.Now())
	if remaining <= 0 {
		return kernel.Refuse(kernel.ReasonDeadline, "the deadline passed before the call was sent", 0)
	}
	message, err := encodeCall(c, remaining)
	if err != nil {
		return kernel.Refuse(kernel.ReasonInternal, "encode call: "+err.Error(), 0)
	}
	if owner.Domain != n.host.Self.Domain {
		n.metrics.crossDomainCalls.Add(1)
	}
	response, err := n.network.CallWithTail(ctx, owner, kindCall, message, c.Body)
	if err != nil {
		return lostCallResult(ctx, err)
	}
	r, err := decodeResult(response)
	if err != nil {
		return kernel.Unknown(kernel.ReasonInternal, "decode result: "+err.Error())
	}
	return r
}

// lostCallResult classifies a call whose result did not arrive.
func lostCallResult(ctx context.Context, err error) *kernel.Result {
	switch {
	case errors.Is(err, kernel.ErrNotSent):
		return kernel.Refuse(kernel.ReasonNoUpstream, "the owner node can't be reached", 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return kernel.Unknown(kernel.ReasonDeadline, "the deadline passed while the call ran")
	case ctx.Err() != nil:
		return kernel.Unknown(kernel.CancelReason(ctx), "the caller left, or the node ended, while the call ran")
	case errors.Is(err, peer.ErrRemote):
		return kernel.Unknown(kernel.ReasonInternal, "the owner node could not handle the call: "+err.Error())
	}
	r := kernel.Unknown(kernel.ReasonUpstream, "the connection to the owner node was lost while the call ran")
	r.InstanceLost = true
	return r
}
