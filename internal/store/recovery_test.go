package store

import (
	"errors"
	"slices"
	"testing"
)

// TestRecoveryAfterCrashAtEveryByte simulates a crash at every byte of every append and snapshot, and before and after
// every rename and removal. Recovery must then restore the state after one of the submitted records, and that record
// must not be older than the last acknowledged one. It must not apply any record in part.
func TestRecoveryAfterCrashAtEveryByte(t *testing.T) {
	disk := newMemoryDisk()
	run := runRandomChanges(t, disk, 2000, 1)
	files := map[string][]byte{}
	crashes := 0
	for i, operation := range disk.history {
		for size := range len(operation.data) + 1 {
			if operation.kind == writeOperation && size%7 != 0 && size < len(operation.data)-3 {
				continue // a partial file is never read, so a seventh of the possible cuts is enough
			}
			crashes++
			crashed := diskWith(files)
			operation.applyTo(crashed.files, size)
			s, err := Open(crashed, smallLimits)
			if err != nil {
				t.Fatalf("operation %d (%s %s), cut at byte %d of %d: %v",
					i, operation.kind, operation.name, size, len(operation.data), err)
			}
			seq := int(s.lastSeq)
			if seq < run.acknowledged[i] || seq > run.submitted[i] || contents(s) != run.contents[seq] {
				t.Fatalf("operation %d (%s %s), cut at byte %d of %d: record %d, acknowledged %d, submitted %d; complete: %v",
					i, operation.kind, operation.name, size, len(operation.data),
					seq, run.acknowledged[i], run.submitted[i], contents(s) == run.contents[seq])
			}
			if size%97 == 0 && !acceptsWrites(t, s, crashed) {
				t.Fatalf("operation %d, byte %d: the first write after the recovery is lost", i, size)
			}
		}
		operation.applyTo(files, len(operation.data))
	}
	t.Logf("%d operations of the disk, %d crashes", len(disk.history), crashes)
}

// acceptsWrites reports whether a recovered store acknowledges a write that the next recovery finds.
func acceptsWrites(t *testing.T, s *Store, disk *memoryDisk) bool {
	t.Helper()
	acknowledged := false
	if err := put(s, "new", "v", func(err error) { acknowledged = err == nil }); err != nil {
		t.Fatal(err)
	}
	disk.answer(allAnswers)
	value, found := openStore(t, disk).Get("new")
	return acknowledged && found && string(value) == "v"
}

// TestRecoveryDetectsFlippedBits flips one bit of each byte. Recovery must report the damage, unless it is in the last
// record of the log, which recovery then treats as incomplete. It must never return data that was not written.
func TestRecoveryDetectsFlippedBits(t *testing.T) {
	disk := newMemoryDisk()
	run := runRandomChanges(t, disk, 400, 2)
	detected, inLastRecord := 0, 0
	for name, data := range disk.files {
		for i := range data {
			damaged := diskWith(disk.files)
			damaged.files[name] = slices.Clone(data)
			damaged.files[name][i] ^= 1 << (i % 8)
			s, err := Open(damaged, smallLimits)
			var corrupt *CorruptError
			switch {
			case errors.Is(err, ErrCorrupt):
				detected++
				if !errors.As(err, &corrupt) || corrupt.File == "" {
					t.Fatalf("%s byte %d: the error names no file: %v", name, i, err)
				}
			case err != nil:
				t.Fatalf("%s byte %d: %v", name, i, err)
			case contents(s) != run.contents[s.lastSeq] || int(s.lastSeq) < len(run.contents)-2:
				t.Fatalf("%s byte %d: record %d of %d; complete: %v",
					name, i, s.lastSeq, len(run.contents)-1, contents(s) == run.contents[s.lastSeq])
			default:
				inLastRecord++
			}
		}
	}
	if detected < 10*inLastRecord {
		t.Errorf("%d detected, %d in the last record", detected, inLastRecord)
	}
}

// TestCorruptErrorNamesFileAndOffset checks that Open reports the file and offset of damage, and changes no file.
func TestCorruptErrorNamesFileAndOffset(t *testing.T) {
	disk := newMemoryDisk()
	s := openStore(t, disk)
	for _, key := range []string{"a", "b"} {
		if err := put(s, key, "v", nil); err != nil {
			t.Fatal(err)
		}
		disk.answer(allAnswers)
	}
	intact := disk.files[segmentName(1)]
	flipped := slices.Clone(intact)
	flipped[len(fileHeader)] ^= 1
	for name, test := range map[string]struct {
		file string
		data []byte
		want CorruptError
		text string
	}{
		"damaged record": {
			segmentName(1), flipped, CorruptError{File: segmentName(1), Offset: len(fileHeader)},
			"the store is corrupt: log-0000000000000001, at byte 20",
		},
		"unknown format": {
			segmentName(1), []byte("something of another program"),
			CorruptError{File: segmentName(1), Offset: wholeFile, Reason: "unknown format"},
			"the store is corrupt: log-0000000000000001: unknown format",
		},
		"missing segment": {
			segmentName(3), intact,
			CorruptError{File: segmentName(3), Offset: wholeFile, Reason: segmentName(2) + " is missing"},
			"the store is corrupt: log-0000000000000003: log-0000000000000002 is missing",
		},
	} {
		t.Run(name, func(t *testing.T) {
			damaged := diskWith(disk.files)
			damaged.files[test.file] = slices.Clone(test.data)
			_, err := Open(damaged, smallLimits)
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) || *corrupt != test.want || err.Error() != test.text {
				t.Errorf("got %v, want %s", err, test.text)
			}
			if !slices.Equal(damaged.files[test.file], test.data) {
				t.Error("the damaged file was changed")
			}
		})
	}
}
