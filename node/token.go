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

// runningCall is a call that the upstream beside this node is serving.
type runningCall struct {
	call   *kernel.Call
	ctx    context.Context
	budget *retry.Budget

	mu          sync.Mutex
	nestedCalls map[uint64]int // number of nested calls by fingerprint
}

// countNested counts a nested call and returns how many equal ones the running
// call had made before.
func (r *runningCall) countNested(fingerprint uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nestedCalls == nil {
		r.nestedCalls = make(map[uint64]int)
	}
	n := r.nestedCalls[fingerprint]
	r.nestedCalls[fingerprint] = n + 1
	return n
}

// tokenTable maps call tokens to running calls.
type tokenTable struct {
	calls sync.Map // from token to *runningCall
}

// add issues a token that is valid until it is removed.
func (t *tokenTable) add(r *runningCall) string {
	var raw [tokenBytes]byte
	_, _ = rand.Read(raw[:]) // never fails (crypto/rand)
	token := hex.EncodeToString(raw[:])
	t.calls.Store(token, r)
	return token
}

func (t *tokenTable) remove(token string) { t.calls.Delete(token) }

func (t *tokenTable) find(token string) (*runningCall, bool) {
	r, ok := t.calls.Load(token)
	if !ok {
		return nil, false
	}
	return r.(*runningCall), true
}

// fingerprint returns a hash that is the same for equal requests.
func fingerprint(service, method, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
