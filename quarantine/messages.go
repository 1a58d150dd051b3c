package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Message kinds.
const (
	kindReport = "quarantine.report"
	kindTable  = "quarantine.table"
)

const (
	fanOut      = 8 // messages under way at a time
	sendTimeout = 2 * time.Second
	tellWait    = 200 * time.Millisecond
	batchDelay  = 5 * time.Millisecond
	syncPeers   = 3
)

// recordsMessage is the body of a report and the answer to a table request.
type recordsMessage struct {
	Records []record `cbor:"1,keyasint"`
}

// empty is a message without content.
type empty struct{}

func (p *Plugin) onReport(_ context.Context, _ state.MemberID, m recordsMessage) (empty, error) {
	p.mergeAll(m.Records)
	return empty{}, nil
}

func (p *Plugin) onTable(context.Context, state.MemberID, empty) (recordsMessage, error) {
	return recordsMessage{Records: p.table.all()}, nil
}

func (p *Plugin) mergeAll(records []record) {
	now := p.host.Now()
	for _, r := range records {
		if r.ExpiresMS > now.UnixMilli() {
			p.table.merge(r, now)
		}
	}
}

// batch is records on their way to a service. Calls lost together share one.
type batch struct {
	records []record
	done    chan struct{}
}

// tell sends records to the nodes of a service and waits for them briefly.
func (p *Plugin) tell(service string, records []record) {
	done := p.enqueue(service, records)
	timer := time.NewTimer(tellWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// enqueue adds records to the batch of a service. The channel is closed when
// the batch has been sent.
func (p *Plugin) enqueue(service string, records []record) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.batches[service]
	if b == nil {
		b = &batch{done: make(chan struct{})}
		p.batches[service] = b
		p.host.Go(func() { p.flush(service, b) })
	}
	b.records = append(b.records, records...)
	return b.done
}

func (p *Plugin) flush(service string, b *batch) {
	time.Sleep(batchDelay)
	p.mu.Lock()
	delete(p.batches, service)
	p.mu.Unlock()
	p.broadcast(service, b.records)
	close(b.done)
}

// broadcast sends records to the nodes of a service in all failure domains.
func (p *Plugin) broadcast(service string, records []record) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	slots := make(chan struct{}, fanOut)
	var sent sync.WaitGroup
	for _, m := range p.host.Snapshot().Service(service) {
		if m.ID == p.host.Self.ID {
			continue
		}
		slots <- struct{}{}
		sent.Go(func() {
			p.send(ctx, m, records)
			<-slots
		})
	}
	sent.Wait()
}

func (p *Plugin) send(ctx context.Context, m state.Member, records []record) {
	_, err := kernel.SendRequest[recordsMessage, empty](ctx, p.host.Peers, m, kindReport, recordsMessage{Records: records})
	if err != nil {
		p.host.Log.Warn("quarantine report not delivered", "to", string(m.ID), "error", err)
	}
}

// sync asks members of the own service for their records. It reports whether
// there was a member to ask.
func (p *Plugin) sync() bool {
	asked := 0
	for _, m := range p.host.Snapshot().Service(p.host.Self.Service) {
		if m.ID == p.host.Self.ID || asked == syncPeers {
			continue
		}
		asked++
		p.host.Go(func() { p.fetch(m) })
	}
	return asked > 0
}

func (p *Plugin) fetch(m state.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	got, err := kernel.SendRequest[empty, recordsMessage](ctx, p.host.Peers, m, kindTable, empty{})
	if err != nil {
		p.host.Log.Warn("quarantine table not fetched", "from", string(m.ID), "error", err)
		return
	}
	p.mergeAll(got.Records)
}
