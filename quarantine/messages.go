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
	maxConcurrentSends = 8                      // messages of a report being sent at a time
	sendTimeout        = 2 * time.Second        // of a report to all nodes or a table request
	reportWait         = 200 * time.Millisecond // for which a lost call waits for the delivery of its report
	batchDelay         = 5 * time.Millisecond   // during which further records join a report
	maxTableRequests   = 3
)

// recordsMessage is the body of a report and the answer to a table request.
type recordsMessage struct {
	Records []record `cbor:"1,keyasint"`
}

// emptyMessage is a message without content.
type emptyMessage struct{}

func (p *Plugin) handleReport(_ context.Context, _ state.MemberID, m recordsMessage) (emptyMessage, error) {
	p.mergeAll(m.Records)
	return emptyMessage{}, nil
}

func (p *Plugin) handleTableRequest(context.Context, state.MemberID, emptyMessage) (recordsMessage, error) {
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

// batch holds the records of one report to a service. Calls lost at about the
// same time share a batch.
type batch struct {
	records []record
	done    chan struct{}
}

// reportAndWait sends records to the nodes of a service and waits up to
// reportWait for the delivery.
func (p *Plugin) reportAndWait(service string, records []record) {
	done := p.enqueue(service, records)
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// enqueue adds records to a service's batch. The returned channel is closed when
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

// broadcast sends records to the service's nodes in all failure domains.
func (p *Plugin) broadcast(service string, records []record) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentSends)
	var sent sync.WaitGroup
	for _, m := range p.host.Snapshot().Service(service) {
		if m.ID == p.host.Self.ID {
			continue
		}
		slots <- struct{}{}
		sent.Go(func() {
			p.sendReport(ctx, m, records)
			<-slots
		})
	}
	sent.Wait()
}

func (p *Plugin) sendReport(ctx context.Context, m state.Member, records []record) {
	_, err := kernel.SendRequest[recordsMessage, emptyMessage](ctx, p.host.Peers, m, kindReport, recordsMessage{Records: records})
	if err != nil {
		p.host.Log.Warn("quarantine report not delivered", "to", string(m.ID), "error", err)
	}
}

// requestTables requests the tables of other members of this node's service. It
// reports whether there was such a member.
func (p *Plugin) requestTables() bool {
	requested := 0
	for _, m := range p.host.Snapshot().Service(p.host.Self.Service) {
		if m.ID == p.host.Self.ID || requested == maxTableRequests {
			continue
		}
		requested++
		p.host.Go(func() { p.fetchTable(m) })
	}
	return requested > 0
}

func (p *Plugin) fetchTable(m state.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	table, err := kernel.SendRequest[emptyMessage, recordsMessage](ctx, p.host.Peers, m, kindTable, emptyMessage{})
	if err != nil {
		p.host.Log.Warn("quarantine table not fetched", "from", string(m.ID), "error", err)
		return
	}
	p.mergeAll(table.Records)
}
