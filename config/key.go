package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	// keyPrefix begins the text of every key, so that secret scanners recognize
	// keys.
	keyPrefix   = "gbf_"
	keyIDBytes  = 8
	secretBytes = 32
	saltBytes   = 16
	hashBytes   = sha256.Size
)

// NewKey creates a random key for a customer. It also returns the key's secret,
// which the Key does not contain.
func NewKey(customer string) (Key, string, error) {
	random := make([]byte, keyIDBytes+secretBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return Key{}, "", fmt.Errorf("read random bytes for key: %w", err)
	}
	id, rest := random[:keyIDBytes], random[keyIDBytes:]
	secret, salt := hex.EncodeToString(rest[:secretBytes]), rest[secretBytes:]
	hash := hashSecret(salt, secret)
	k := Key{
		ID:       hex.EncodeToString(id),
		Customer: customer,
		Salt:     hex.EncodeToString(salt),
		Hash:     hex.EncodeToString(hash[:]),
	}
	return k, secret, nil
}

// Verify reports whether the secret belongs to the key. The hashes are compared
// in constant time.
func (k Key) Verify(secret string) bool {
	salt, err := hex.DecodeString(k.Salt)
	if err != nil {
		return false
	}
	want, err := hex.DecodeString(k.Hash)
	if err != nil {
		return false
	}
	got := hashSecret(salt, secret)
	return subtle.ConstantTimeCompare(got[:], want) == 1
}

// KeyText returns the text that a caller sends as its key.
func KeyText(id, secret string) string { return keyPrefix + id + "_" + secret }

// SplitKey splits the text of a key into ID and secret; ok is false if the text
// is malformed.
func SplitKey(text string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	if !ok || secret == "" || !keyIDPattern.MatchString(id) {
		return "", "", false
	}
	return id, secret, true
}

func hashSecret(salt []byte, secret string) [hashBytes]byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	var sum [hashBytes]byte
	h.Sum(sum[:0])
	return sum
}
