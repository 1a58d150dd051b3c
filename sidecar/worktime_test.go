package sidecar

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// reportOfEarlierBuild is how builds without the work time read the element that
// appendReport appends.
func reportOfEarlierBuild(flat []string) *kernel.InstanceReport {
	if len(flat)%2 == 0 {
		return nil
	}
	var r kernel.InstanceReport
	if err := json.Unmarshal([]byte(flat[len(flat)-1]), &r); err != nil {
		return nil
	}
	return &r
}

// elementOfEarlierBuild is what builds without the work time append.
func elementOfEarlierBuild(t *testing.T, r *kernel.InstanceReport) []string {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return []string{"A", "1", string(text)}
}

// Guards against a lost work time or report in a result, and against a result that
// earlier builds can't decode.
func TestWorkTimeTravelsWithResults(t *testing.T) {
	work := kernel.WorkTime{Now: 2.5, Mean: 1.25}
	for _, report := range []*kernel.InstanceReport{nil, testReport} {
		for _, work := range []kernel.WorkTime{{}, work} {
			data, err := encodeResult(&kernel.Result{
				Outcome: kernel.OutcomeAnswered, Header: testHeader, Load: &kernel.Load{Limit: 3, Report: report, Work: work},
			})
			if err != nil {
				t.Fatal(err)
			}
			r, err := decodeResult(data)
			if err != nil || !reflect.DeepEqual(r.Header, testHeader) || !reflect.DeepEqual(r.Load.Report, report) || r.Load.Work != work {
				t.Errorf("result %+v, load %+v, %v", r, r.Load, err)
			}
			if fields := arrayLength(t, data); fields != 13 {
				t.Errorf("a result has %d fields; earlier builds accept 13 only", fields)
			}
		}
	}
}

// Guards against builds without the work time that take it for a report, which would
// replace what they know of the instance, and against builds with it that
// misunderstand their reports.
func TestBuildsWithoutWorkTimeUnderstandReports(t *testing.T) {
	work := kernel.WorkTime{Now: 2.5, Mean: 1.25}
	if got := reportOfEarlierBuild(appendReport([]string{"A", "1"}, nil, work)); got != nil {
		t.Errorf("earlier builds take a work time for the report %+v", got)
	}
	if got := reportOfEarlierBuild(appendReport([]string{"A", "1"}, testReport, work)); !reflect.DeepEqual(got, testReport) {
		t.Errorf("earlier builds read %+v", got)
	}
	report, unset := appendedTo(elementOfEarlierBuild(t, testReport))
	if !reflect.DeepEqual(report, testReport) || unset.Reported() {
		t.Errorf("of an earlier build: %+v, %+v", report, unset)
	}
	if report, _ = appendedTo(elementOfEarlierBuild(t, &kernel.InstanceReport{})); report != nil {
		t.Errorf("a report without content is kept: %+v", report)
	}
}

// Guards against wrong figures of another node, which would starve a member or draw all
// calls to it.
func TestWrongWorkTimesAreBounded(t *testing.T) {
	for element, want := range map[string]kernel.WorkTime{
		`[]`:                       {},
		`[2]`:                      {},
		`[-1,1]`:                   {},
		`[0,1]`:                    {},
		`[1e9,-3]`:                 {Now: kernel.MaxWorkTime, Mean: kernel.MaxWorkTime},
		`[1e-9,1]`:                 {Now: kernel.MinWorkTime, Mean: 1},
		`["a","b"]`:                {},
		`{"work":"x"}`:             {},
		`{"work":[1.5,1],"new":1}`: {Now: 1.5, Mean: 1},
		`[1.5,1,7]`:                {Now: 1.5, Mean: 1},
		`no report`:                {},
	} {
		if report, got := appendedTo([]string{element}); report != nil || got != want {
			t.Errorf("%s: %+v %+v, want %+v", element, report, got, want)
		}
	}
}

// Guards against load reports of the product's own messages that builds without the
// work time refuse, and the other way round.
func TestLoadsWithoutWorkTimeAreUnderstood(t *testing.T) {
	type earlierLoad struct {
		Limit    int `cbor:"1,keyasint"`
		InFlight int `cbor:"2,keyasint"`
	}
	data, err := cbor.Marshal(kernel.Load{Limit: 3, InFlight: 2, Work: kernel.WorkTime{Now: 2, Mean: 1}})
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierLoad
	if err := cbor.Unmarshal(data, &earlier); err != nil || earlier != (earlierLoad{3, 2}) {
		t.Errorf("an earlier build reads %+v: %v", earlier, err)
	}
	var same, without kernel.Load
	if err := cbor.Unmarshal(data, &same); err != nil || same.Work != (kernel.WorkTime{Now: 2, Mean: 1}) {
		t.Errorf("load %+v: %v", same, err)
	}
	if data, err = cbor.Marshal(earlier); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, &without); err != nil || without.Work.Reported() || without.Limit != 3 {
		t.Errorf("load of an earlier build %+v: %v", without, err)
	}
	var fields map[int]any
	if data, err = cbor.Marshal(kernel.Load{Limit: 3}); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, &fields); err != nil || fields[7] != nil {
		t.Errorf("without a work time the message has fields %v: %v", fields, err)
	}
}
