package state

import (
	"bytes"
	"errors"
	"testing"
)

func sampleRecords() []Record {
	return []Record{
		configRecord(3, "c", "file"),
		RefreshRecord{Version: 2, ChangeID: "c", File: []byte("f"), AsOfOffset: 9},
		KeysRecord{Keys: []IssuedKey{{ID: "k", Customer: "c", Salt: "00", Hash: "11"}}},
		WithdrawRecord{KeyIDs: []string{"k"}},
		AnnounceRecord{Member: member(1), AsOfOffset: 4},
		EndRecord{ID: "m1", By: "m1", Reason: EndResigned},
		DrainRecord{ID: "m1", Draining: true},
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	for _, r := range sampleRecords() {
		data, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(data)
		if err != nil {
			t.Fatalf("%T: %v", r, err)
		}
		again, err := Encode(back)
		if err != nil || !bytes.Equal(data, again) {
			t.Fatalf("%T differs after a round trip: %v", r, err)
		}
	}
}

func TestMalformedRecordsAreRejected(t *testing.T) {
	good, err := Encode(configRecord(0, "c", "f"))
	if err != nil {
		t.Fatal(err)
	}
	later := bytes.Replace(good, []byte{0x01, recordFormat}, []byte{0x01, recordFormat + 1}, 1)
	// Well-formed, but longer than Encode allows.
	oversized, err := encMode.Marshal(envelope{Format: recordFormat, Kind: KindConfig,
		Body: mustMarshal(t, struct {
			ChangeID string `cbor:"1,keyasint"`
			Unknown  []byte `cbor:"9,keyasint"`
		}{"c", make([]byte, MaxRecordBytes)})})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"empty":        {},
		"truncated":    good[:len(good)-1],
		"trailing":     append(bytes.Clone(good), 0),
		"oversized":    oversized,
		"later format": later,
		"long array":   {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, err := Decode(data); !errors.Is(err, ErrBadRecord) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, r := range map[string]Record{
		"huge file":                     ConfigRecord{ChangeID: "c", File: make([]byte, MaxFileBytes+1)},
		"no change ID":                  ConfigRecord{},
		"long key":                      WithdrawRecord{KeyIDs: []string{string(make([]byte, MaxIDBytes+1))}},
		"resignation by another member": EndRecord{ID: "a", By: "b", Reason: EndResigned},
	} {
		if _, err := Encode(r); !errors.Is(err, ErrBadRecord) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	data, err := encMode.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// FuzzDecode checks that any input is rejected or can be encoded again, and that
// a fold accepts every decodable record.
func FuzzDecode(f *testing.F) {
	for _, r := range sampleRecords() {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold(parseAny)
		r, _ := fold.Apply(0, data, testTime)
		fold.Snapshot()
		if r == nil {
			return
		}
		if _, err := Encode(r); err != nil {
			t.Fatalf("decoded %T cannot be encoded: %v", r, err)
		}
	})
}

// FuzzAdopt checks that no encoded state makes a fold panic.
func FuzzAdopt(f *testing.F) {
	donor := NewFold(parseAny)
	for _, r := range sampleRecords() {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		_, _ = donor.Apply(donor.Offset(), data, testTime)
	}
	data, err := donor.Export()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	next, err := Encode(AnnounceRecord{Member: member(2)})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold(parseAny)
		if fold.Adopt(data, testTime) != nil {
			return
		}
		_, _ = fold.Apply(fold.Offset(), next, testTime)
		fold.Snapshot()
	})
}
