package dispatch

import (
	"encoding/binary"
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/store"
)

// An intent is the durable record that a request with a key may run. It is written before the first decode attempt is
// sent, so that a client that repeats the request after this dispatcher died is not served a second run. Its value is
// the request's digest, when the key expires (0: the request was running) and its window.
const (
	intentPrefix      = "intent/"
	intentValueLength = 3 * 8
)

// intentRetryInterval is the pause between attempts to write to a disk that has failed. Each writes all records.
const intentRetryInterval = 500 * eventloop.Millisecond

// intentRecord is the state of one request's intent. With a prefill it is written as the prefill goes out, so that the
// disk works while the endpoint does; a request whose dispatcher dies before its decode then counts as run, although it
// was not. Before the decode it costs the time of a sync.
type intentRecord struct {
	requested bool
	durable   bool
	waiting   func(recorded bool) // a decode attempt that waits for the record
}

func intentKey(key idempotency.Key) string { return intentPrefix + string(key[:]) }

func encodeIntent(record idempotency.Record) store.Op {
	value := binary.LittleEndian.AppendUint64(nil, record.Request)
	value = binary.LittleEndian.AppendUint64(value, uint64(record.Until))
	value = binary.LittleEndian.AppendUint64(value, uint64(record.Window))
	return store.Op{Key: intentKey(record.Key), Value: value}
}

func decodeIntent(key string, value []byte) (record idempotency.Record, valid bool) {
	if len(value) != intentValueLength || len(key) != len(intentPrefix)+len(record.Key) {
		return record, false
	}
	copy(record.Key[:], key[len(intentPrefix):])
	record.Request = binary.LittleEndian.Uint64(value)
	record.Until = eventloop.Micros(binary.LittleEndian.Uint64(value[8:]))
	record.Window = eventloop.Micros(binary.LittleEndian.Uint64(value[16:]))
	return record, true
}

// restoreIntents reads what an earlier process recorded. What was running when it died may have run, and is remembered
// from now on.
func (d *Dispatcher) restoreIntents() {
	if d.config.Intents == nil {
		return
	}
	var records []idempotency.Record
	now := d.loop.Now()
	d.config.Intents.Scan(intentPrefix, func(key string, value []byte) bool {
		record, valid := decodeIntent(key, value)
		if !valid {
			return true
		}
		// It was running; or the clock was ahead then, and a window is enough.
		if record.Until == 0 || record.Until > now+record.Window {
			record.Until = now + record.Window
		}
		records = append(records, record)
		return true
	})
	slices.SortStableFunc(records, func(a, b idempotency.Record) int { return int(a.Until - b.Until) })
	for _, record := range records {
		d.idempotencyCache.Restore(record)
	}
	d.idempotencyCache.OnExpire = func(key idempotency.Key) {
		// Ignoring the error is safe: an intent that stays too long is dropped at the next start.
		_ = d.config.Intents.Commit([]store.Op{{Key: intentKey(key)}}, nil, store.WriteLazy, nil)
	}
	d.config.Log.Info().Int("keys", len(records)).Msg("idempotency keys restored")
}

// needsIntent reports whether a request's product asks for its intent to be recorded at a point.
func (d *Dispatcher) needsIntent(r *request, when pb.Product_Intent) bool {
	return r.keyEntry != nil && d.config.Intents != nil && d.Deployment.Products[r.class].Intent == when
}

// recordIntentEarly begins to record the intent as the prefill goes out.
func (d *Dispatcher) recordIntentEarly(r *request) {
	if d.needsIntent(r, pb.Product_WITH_READ) && !r.intent.requested {
		d.recordIntent(r)
	}
}

// awaitIntent goes on once it is known whether the request's intent is durable, where it needs to be.
func (d *Dispatcher) awaitIntent(r *request, then func(recorded bool)) {
	notNeeded := r.keyEntry == nil || d.config.Intents == nil || d.needsIntent(r, pb.Product_NO_RECORD)
	if notNeeded || r.intent.durable {
		then(true)
		return
	}
	// Where another attempt waits already, it was cancelled, and this one waits in its place.
	if r.intent.waiting == nil && !r.intent.requested {
		d.recordIntent(r)
	}
	r.intent.waiting = then
}

func (d *Dispatcher) recordIntent(r *request) {
	r.intent.requested = true
	finish := func(err error) {
		r.intent.requested, r.intent.durable = err == nil, err == nil
		if then := r.intent.waiting; then != nil {
			r.intent.waiting = nil
			then(err == nil)
		}
	}
	intent := encodeIntent(idempotency.Record{
		Key:     r.keyEntry.Key(),
		Request: r.keyEntry.Request(),
		Window:  d.keyWindow(r),
	})
	err := d.config.Intents.Commit([]store.Op{intent}, nil, store.WriteNow, func(err error) {
		if err != nil {
			d.recoverIntents()
		}
		finish(err)
	})
	if err != nil {
		d.config.Log.Error().Err(err).Uint64("request_id", uint64(r.id)).Msg("intent not recorded")
		d.recoverIntents()
		d.loop.Defer(func() { finish(err) })
	}
}

// recoverIntents takes the intent store into service again once the disk takes writes, without a restart. Until then
// requests with a key are not run.
func (d *Dispatcher) recoverIntents() {
	if d.recoveringIntents || d.config.Intents.Err() == nil {
		return
	}
	d.recoveringIntents = true
	d.config.Log.Error().Err(d.config.Intents.Err()).Msg("intent store failed")
	d.loop.AfterFunc(intentRetryInterval, d.repairIntents)
}

func (d *Dispatcher) repairIntents() {
	d.config.Intents.Repair(func(err error) {
		if err != nil {
			d.loop.AfterFunc(intentRetryInterval, d.repairIntents)
			return
		}
		d.recoveringIntents = false
		d.config.Log.Info().Msg("intent store recovered")
	})
}

// recordKeyEnd records when a key expires. It is written with the next group of records: if it is lost, the key is
// remembered for longer.
func (d *Dispatcher) recordKeyEnd(entry *idempotency.Entry, window eventloop.Micros) {
	if d.config.Intents == nil {
		return
	}
	if entry.Until() == 0 { // nothing ran, and the key is free: a crash now must not bring it back
		d.config.Intents.Flush()
		return
	}
	end := encodeIntent(idempotency.Record{
		Key:     entry.Key(),
		Request: entry.Request(),
		Until:   entry.Until(),
		Window:  window,
	})
	_ = d.config.Intents.Commit([]store.Op{end}, nil, store.WriteLazy, nil)
}
