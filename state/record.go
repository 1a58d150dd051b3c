package state

import (
	"errors"
	"fmt"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// Limits of a record. A record that exceeds them is rejected by Encode and void
// on every node.
const (
	// MaxRecordBytes bounds an encoded record.
	MaxRecordBytes = 1 << 20
	// MaxFileBytes bounds the text of an operators' file.
	MaxFileBytes = MaxRecordBytes - 4096
	// MaxIDBytes bounds a member, key or change ID, an address and a name.
	MaxIDBytes = 256
	// MaxListLen bounds the lists in one record.
	MaxListLen = 4096
)

// recordFormat is the version of the envelope. Records of other versions are
// void.
const recordFormat = 1

// ErrBadRecord reports a record that cannot be decoded or exceeds the limits.
var ErrBadRecord = errors.New("bad record")

// Kind is the type of a record in the log.
type Kind uint8

// The kinds of records.
const (
	KindConfig Kind = iota + 1
	KindRefresh
	KindKeys
	KindWithdraw
	KindAnnounce
	KindEnd
	KindDrain
)

// Record is one typed record of the log.
type Record interface {
	recordKind() Kind
	check() error
}

// ConfigRecord proposes a complete operators' file. It is void unless Base is the
// version in force at its offset in the log; otherwise it becomes version Base+1.
type ConfigRecord struct {
	ChangeID string `cbor:"1,keyasint"`
	Base     uint64 `cbor:"2,keyasint"`
	File     []byte `cbor:"3,keyasint"`
}

// RefreshRecord repeats the configuration in force, so that it outlives the log's
// retention. Version zero means that there is none yet.
type RefreshRecord struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	File     []byte `cbor:"3,keyasint"`
	// AsOfOffset is the writer's offset, at which Version was in force.
	AsOfOffset uint64 `cbor:"4,keyasint"`
}

// KeysRecord issues keys. If an ID is issued again, the first key stays valid.
type KeysRecord struct {
	Keys []IssuedKey `cbor:"1,keyasint"`
}

// IssuedKey is the encoding of a config.Key in a record.
type IssuedKey struct {
	ID       string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Salt     string `cbor:"3,keyasint"`
	Hash     string `cbor:"4,keyasint"`
}

// Key converts k to a config.Key.
func (k IssuedKey) Key() config.Key { return config.Key(k) }

// WithdrawRecord withdraws keys permanently.
type WithdrawRecord struct {
	KeyIDs []string `cbor:"1,keyasint"`
}

// AnnounceRecord announces an incarnation, or repeats its announcement.
type AnnounceRecord struct {
	Member Member `cbor:"1,keyasint"`
	// AsOfOffset is the writer's offset. An announcement that reaches the log
	// more than AnnounceWindow records later is void.
	AsOfOffset uint64 `cbor:"2,keyasint"`
}

// EndRecord ends an incarnation permanently. By is the member that wrote it.
type EndRecord struct {
	ID     MemberID  `cbor:"1,keyasint"`
	By     MemberID  `cbor:"2,keyasint"`
	Reason EndReason `cbor:"3,keyasint"`
}

// EndReason is the reason why an incarnation ended.
type EndReason uint8

// The reasons for an end.
const (
	// EndResigned means that the member resigned, after its last call.
	EndResigned EndReason = iota + 1
	// EndRemoved means that another member removed it.
	EndRemoved
)

// DrainRecord starts or stops the draining of a member.
type DrainRecord struct {
	ID       MemberID `cbor:"1,keyasint"`
	Draining bool     `cbor:"2,keyasint"`
}

func (ConfigRecord) recordKind() Kind   { return KindConfig }
func (RefreshRecord) recordKind() Kind  { return KindRefresh }
func (KeysRecord) recordKind() Kind     { return KindKeys }
func (WithdrawRecord) recordKind() Kind { return KindWithdraw }
func (AnnounceRecord) recordKind() Kind { return KindAnnounce }
func (EndRecord) recordKind() Kind      { return KindEnd }
func (DrainRecord) recordKind() Kind    { return KindDrain }

func (r ConfigRecord) check() error {
	if len(r.File) > MaxFileBytes {
		return fmt.Errorf("%w: file of %d bytes", ErrBadRecord, len(r.File))
	}
	return checkIDs(r.ChangeID)
}

func (r RefreshRecord) check() error {
	if r.Version == 0 {
		return nil
	}
	return ConfigRecord{ChangeID: r.ChangeID, File: r.File}.check()
}

func (r KeysRecord) check() error {
	if len(r.Keys) > MaxListLen {
		return fmt.Errorf("%w: %d keys", ErrBadRecord, len(r.Keys))
	}
	for _, k := range r.Keys {
		if err := checkIDs(k.ID, k.Customer, k.Hash); err != nil {
			return err
		}
	}
	return nil
}

func (r WithdrawRecord) check() error {
	if len(r.KeyIDs) > MaxListLen {
		return fmt.Errorf("%w: %d keys", ErrBadRecord, len(r.KeyIDs))
	}
	return checkIDs(r.KeyIDs...)
}

func (r AnnounceRecord) check() error {
	m := r.Member
	return checkIDs(string(m.ID), m.Service, m.Domain, m.ControlAddr, m.CallAddr, m.CallerAddr)
}

func (r EndRecord) check() error {
	if r.Reason != EndResigned && r.Reason != EndRemoved {
		return fmt.Errorf("%w: end reason %d", ErrBadRecord, r.Reason)
	}
	if r.Reason == EndResigned && r.By != r.ID {
		return fmt.Errorf("%w: %s cannot resign for %s", ErrBadRecord, r.By, r.ID)
	}
	return checkIDs(string(r.ID), string(r.By))
}

func (r DrainRecord) check() error { return checkIDs(string(r.ID)) }

func checkIDs(ids ...string) error {
	for _, id := range ids {
		if id == "" || len(id) > MaxIDBytes {
			return fmt.Errorf("%w: ID or address of %d bytes", ErrBadRecord, len(id))
		}
	}
	return nil
}
