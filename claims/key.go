package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key is an idempotency key: a UUIDv7 (RFC 9562), whose first 48 bits are the
// time of minting in Unix milliseconds.
type Key [16]byte

// ErrMalformedKey means that a key is not a UUIDv7 in its 36-character form.
var ErrMalformedKey = errors.New("idempotency key is not a UUIDv7")

// keyTextLen is the length of the canonical text form in bytes.
const keyTextLen = 36

// ParseKey parses the text form of a key, in letters of either case. No other
// function depends on the text form.
func ParseKey(text string) (Key, error) {
	if len(text) != keyTextLen {
		return Key{}, fmt.Errorf("%w: length %d, want %d", ErrMalformedKey, len(text), keyTextLen)
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fmt.Errorf("%w: %w", ErrMalformedKey, err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, fmt.Errorf("%w: version %d, variant %s", ErrMalformedKey, id.Version(), id.Variant())
	}
	return Key(id), nil
}

// String returns the canonical text form of the key.
func (k Key) String() string { return uuid.UUID(k).String() }

// MintedMS returns the time of minting in Unix milliseconds.
func (k Key) MintedMS() int64 {
	var b [8]byte
	copy(b[2:], k[:6])
	return int64(binary.BigEndian.Uint64(b[:]))
}

// Shard returns the number of the key's shard within its home failure domain.
func (k Key) Shard() uint16 {
	return uint16(xxhash.Sum64(k[:]) % shardCount)
}

// Home returns the key's home failure domain by rendezvous hashing, or the
// empty string if there are none.
func (k Key) Home(domains []string) string {
	best := ""
	var bestWeight uint64
	for _, name := range domains {
		w := homeWeight(k, name)
		if best == "" || w > bestWeight || (w == bestWeight && name < best) {
			best, bestWeight = name, w
		}
	}
	return best
}

func homeWeight(k Key, domain string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(k[:])
	d.WriteString(domain)
	return d.Sum64()
}

// newKey returns a key of a minting time and 80 further bits, of which version and
// variant are overwritten.
func newKey(mintedMS int64, tail [10]byte) Key {
	var k Key
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(mintedMS))
	copy(k[:6], b[2:])
	copy(k[6:], tail[:])
	k[6] = k[6]&0x0f | 0x70
	k[8] = k[8]&0x3f | 0x80
	return k
}

// DeriveChildKey derives the key of a nested call from its parent's key, so that the
// same call under a retried parent has the same key. The child has the parent's
// minting time; n numbers equal requests under one parent, from zero. The
// result is empty if the parent's key is malformed.
func DeriveChildKey(parentKey string, service, method, path string, body []byte, n int) string {
	parent, err := ParseKey(parentKey)
	if err != nil {
		return ""
	}
	sum := childSum(parent, service, method, path, body, n)
	var tail [10]byte
	copy(tail[:], sum[:])
	return newKey(parent.MintedMS(), tail).String()
}

// childSum hashes the fields with their lengths, so that no two different
// requests share an encoding.
func childSum(parent Key, service, method, path string, body []byte, n int) [sha256.Size]byte {
	buf := append([]byte(nil), parent[:]...)
	for _, field := range []string{service, method, path, string(body)} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	buf = binary.AppendUvarint(buf, uint64(n))
	return sha256.Sum256(buf)
}
