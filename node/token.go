package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/retry"
)

// tokenBytes is the length of a call token before hex encoding.
const tokenBytes = 16

// running is a call that the upstream beside this node is working on.
type running struct {
	call   *kernel.Call
	ctx    context.Context
	budget *retry.Budget

	mu   sync.Mutex
	seen map[uint64]int
}

// occurrence returns how often an equal nested call was made before.
func (r *running) occurrence(fingerprint uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = make(map[uint64]int)
	}
	n := r.seen[fingerprint]
	r.seen[fingerprint] = n + 1
	return n
}

// tokenTable maps call tokens to the calls that run now.
type tokenTable struct {
	calls sync.Map // token -> *running
}

// add issues a token that is valid until remove.
func (t *tokenTable) add(r *running) string {
	var raw [tokenBytes]byte
	_, _ = rand.Read(raw[:]) // never fails (crypto/rand)
	token := hex.EncodeToString(raw[:])
	t.calls.Store(token, r)
	return token
}

func (t *tokenTable) remove(token string) { t.calls.Delete(token) }

func (t *tokenTable) find(token string) (*running, bool) {
	r, ok := t.calls.Load(token)
	if !ok {
		return nil, false
	}
	return r.(*running), true
}

// fingerprint identifies equal requests.
func fingerprint(service, method, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
