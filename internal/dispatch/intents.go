package dispatch

import (
	"encoding/binary"
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/store"
)

// An intent is the durable record that a request with an idempotency key may run. It is written before the first decode
// attempt is sent, so that the request does not run a second time if the client repeats it after a crash of this
// dispatcher. The record's value consists of the request's digest, the time when the key expires (0 if the request was
// running) and the key's window.
const (
	intentPrefix      = "intent/"
	intentValueLength = 3 * 8
)

// intentRetryInterval is the delay between attempts to repair the store after its disk failed. Each attempt writes all
// records.
const intentRetryInterval = 500 * eventloop.Millisecond

// intentRecord is the state of one request's intent. Depending on the product, the intent is written when the prefill
// starts or when the decode starts. A write at the start of the prefill costs no time, because the disk syncs during
// the prefill. But if the dispatcher crashes before the decode, the request counts as run although it did not run. A
// write at the start of the decode delays the request by a disk sync.
type intentRecord struct {
	requested bool
	durable   bool
	waiting   func(recorded bool) // sends the decode attempt that waits for the intent
}

func intentKey(key idempotency.Key) string { return intentPrefix + string(key[:]) }

func encodeIntent(record idempotency.Record) store.Op {
	value := binary.LittleEndian.AppendUint64(nil, record.Request)
	value = binary.LittleEndian.AppendUint64(value, uint64(record.ExpiresAt))
	value = binary.LittleEndian.AppendUint64(value, uint64(record.Window))
	return store.Op{Key: intentKey(record.Key), Value: value}
}

func decodeIntent(key string, value []byte) (record idempotency.Record, valid bool) {
	if len(value) != intentValueLength || len(key) != len(intentPrefix)+len(record.Key) {
		return record, false
	}
	copy(record.Key[:], key[len(intentPrefix):])
	record.Request = binary.LittleEndian.Uint64(value)
	record.ExpiresAt = eventloop.Micros(binary.LittleEndian.Uint64(value[8:]))
	record.Window = eventloop.Micros(binary.LittleEndian.Uint64(value[16:]))
	return record, true
}

// restoreIntents restores the keys that an earlier process recorded. A request that was running when that process ended
// may have run, and its window starts now.
func (d *Dispatcher) restoreIntents() {
	if d.config.IntentStore == nil {
		return
	}
	var records []idempotency.Record
	now := d.loop.Now()
	d.config.IntentStore.Scan(intentPrefix, func(key string, value []byte) bool {
		record, valid := decodeIntent(key, value)
		if !valid {
			return true
		}
		// The request was running, or the clock was ahead when the record was written. In both cases it is enough to
		// remember the key for one window from now.
		if record.ExpiresAt == 0 || record.ExpiresAt > now+record.Window {
			record.ExpiresAt = now + record.Window
		}
		records = append(records, record)
		return true
	})
	slices.SortStableFunc(records, func(a, b idempotency.Record) int { return int(a.ExpiresAt - b.ExpiresAt) })
	for _, record := range records {
		d.idempotencyCache.Restore(record)
	}
	d.idempotencyCache.OnExpire = func(key idempotency.Key) {
		// Ignoring the error is safe: an intent that is not deleted expires again after the next start.
		_ = d.config.IntentStore.Commit([]store.Op{{Key: intentKey(key)}}, nil, store.WriteLazy, nil)
	}
	d.config.Log.Info().Int("keys", len(records)).Msg("idempotency keys restored")
}

// hasIntentTiming reports whether the request can have an intent and its product requires intents to be recorded with
// the given timing.
func (d *Dispatcher) hasIntentTiming(r *request, timing pb.Product_Intent) bool {
	return r.keyEntry != nil && d.config.IntentStore != nil && d.Deployment.Products[r.class].Intent == timing
}

// recordIntentEarly starts to record the intent when the prefill starts, if the product requires that.
func (d *Dispatcher) recordIntentEarly(r *request) {
	if d.hasIntentTiming(r, pb.Product_WITH_READ) && !r.intent.requested {
		d.recordIntent(r)
	}
}

// awaitIntent waits until the request's intent is durable or can't be recorded, and calls the function then. If the
// request needs no intent, awaitIntent calls the function at once.
func (d *Dispatcher) awaitIntent(r *request, then func(recorded bool)) {
	notNeeded := r.keyEntry == nil || d.config.IntentStore == nil || d.hasIntentTiming(r, pb.Product_NO_RECORD)
	if notNeeded || r.intent.durable {
		then(true)
		return
	}
	if r.intent.waiting == nil && !r.intent.requested {
		d.recordIntent(r)
	}
	r.intent.waiting = then // if another attempt was waiting, it was cancelled, and this one replaces it
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
	err := d.config.IntentStore.Commit([]store.Op{intent}, nil, store.WriteNow, func(err error) {
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

// recoverIntents retries the repair of a failed intent store until the disk accepts writes again, without a restart of
// the process. Until then, requests that need an intent are not run.
func (d *Dispatcher) recoverIntents() {
	if d.recoveringIntents || d.config.IntentStore.Err() == nil {
		return
	}
	d.recoveringIntents = true
	d.config.Log.Error().Err(d.config.IntentStore.Err()).Msg("intent store failed")
	d.loop.AfterFunc(intentRetryInterval, d.repairIntents)
}

func (d *Dispatcher) repairIntents() {
	d.config.IntentStore.Repair(func(err error) {
		if err != nil {
			d.loop.AfterFunc(intentRetryInterval, d.repairIntents)
			return
		}
		d.recoveringIntents = false
		d.config.Log.Info().Msg("intent store recovered")
	})
}

// recordKeyEnd records when a key expires. The record is written together with the next intent; if the record is lost,
// the key is remembered for longer.
func (d *Dispatcher) recordKeyEnd(entry *idempotency.Entry, window eventloop.Micros) {
	if d.config.IntentStore == nil {
		return
	}
	if entry.ExpiresAt() == 0 { // nothing ran, so the key is free and a restart after a crash must not restore it
		d.config.IntentStore.Flush()
		return
	}
	end := encodeIntent(idempotency.Record{
		Key:       entry.Key(),
		Request:   entry.Request(),
		ExpiresAt: entry.ExpiresAt(),
		Window:    window,
	})
	_ = d.config.IntentStore.Commit([]store.Op{end}, nil, store.WriteLazy, nil)
}
