package directory

import "context"

// heldRecord is the latest record that the store is known to hold under the node's own
// name: one that it has acknowledged or returned. It is the zero Record if there is none.
type heldRecord struct {
	record   Record
	replaced chan struct{} // closed when record is replaced
}

func (h *heldRecord) replace(r Record) {
	h.record = r
	close(h.replaced)
	h.replaced = make(chan struct{})
}

// AwaitStored waits until the store holds a record under the node's own name that satisfies
// the condition, so that the next process of the node learns of it. It returns the error of
// ctx if that ends first. holds is called with the Directory locked.
func (d *Directory) AwaitStored(ctx context.Context, holds func(*Record) bool) error {
	for {
		d.mu.Lock()
		stored, replaced := holds(&d.held.record), d.held.replaced
		d.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
