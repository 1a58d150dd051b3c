package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// envelope is the outer encoding of every record.
type envelope struct {
	Format uint8           `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint"`
	Body   cbor.RawMessage `cbor:"3,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode(MaxListLen)
)

// maxNestedLevels bounds the nesting of untrusted input.
const maxNestedLevels = 8

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(maxLen int) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxLen,
		MaxMapPairs:      maxLen,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns a record as it is written to the log.
func Encode(r Record) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	body, err := encMode.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	data, err := encMode.Marshal(envelope{Format: recordFormat, Kind: r.recordKind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("encode record: %w: %d bytes", ErrBadRecord, len(data))
	}
	return data, nil
}

// Decode returns the record in data. If data is malformed, oversized or of an
// unknown kind, the error wraps ErrBadRecord.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrBadRecord, len(data))
	}
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if e.Format != recordFormat {
		return nil, fmt.Errorf("%w: format %d", ErrBadRecord, e.Format)
	}
	switch e.Kind {
	case KindConfig:
		return decodeBody[ConfigRecord](e.Body)
	case KindRefresh:
		return decodeBody[RefreshRecord](e.Body)
	case KindKeys:
		return decodeBody[KeysRecord](e.Body)
	case KindWithdraw:
		return decodeBody[WithdrawRecord](e.Body)
	case KindAnnounce:
		return decodeBody[AnnounceRecord](e.Body)
	case KindEnd:
		return decodeBody[EndRecord](e.Body)
	case KindDrain:
		return decodeBody[DrainRecord](e.Body)
	}
	return nil, fmt.Errorf("%w: kind %d", ErrBadRecord, e.Kind)
}

func decodeBody[R Record](body []byte) (Record, error) {
	var r R
	if err := decMode.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return r, nil
}
