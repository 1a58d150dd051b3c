package sidecar

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var (
	testReport = &kernel.InstanceReport{Incarnation: state.Incarnation{ID: "i1", StartedMS: 5}, RateLimit: 58.8, Leaving: true, Age: time.Second}
	testHeader = http.Header{"A": {"1", "2"}, "B": {"3"}}
)

// Guards against nodes of two builds refusing each other's messages: a report is
// optional in both directions.
func TestReportsAreOptionalBetweenNodes(t *testing.T) {
	for _, report := range []*kernel.InstanceReport{nil, testReport} {
		data, err := encodeCall(&kernel.Call{Service: "s", Header: testHeader, Known: report}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		c, _, err := decodeCall(data)
		if err != nil || !reflect.DeepEqual(c.Header, testHeader) || !reflect.DeepEqual(c.Known, report) {
			t.Errorf("call %+v %v", c, err)
		}
		if fields := arrayLength(t, data); fields != 14 {
			t.Errorf("a call has %d fields; earlier builds accept 14 only", fields)
		}
		data, err = encodeResult(&kernel.Result{
			Outcome: kernel.OutcomeAnswered, Header: testHeader, Body: []byte("body"), Load: &kernel.Load{Limit: 3, Report: report},
		})
		if err != nil {
			t.Fatal(err)
		}
		r, err := decodeResult(data)
		if err != nil || !reflect.DeepEqual(r.Header, testHeader) || string(r.Body) != "body" || !reflect.DeepEqual(r.Load.Report, report) {
			t.Errorf("result %+v %v", r, err)
		}
		if fields := arrayLength(t, data); fields != 13 {
			t.Errorf("a result has %d fields; earlier builds accept 13 only", fields)
		}
	}
	if reportOf([]string{"A", "1", "of a later format"}) != nil {
		t.Error("an unknown report was understood")
	}
}

// arrayLength returns the number of fields of a message.
func arrayLength(t *testing.T, data []byte) int {
	t.Helper()
	var fields []cbor.RawMessage
	if _, err := decodeMessage(data, &fields); err != nil {
		t.Fatal(err)
	}
	return len(fields)
}
