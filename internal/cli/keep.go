package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	keepAgain = time.Second     // after a write that failed, the newest is tried again
	keepEnds  = 2 * time.Second // at the end, for what is still to be written
)

// keeper writes one small file whole, the newest that it was handed, away from the loop: a disk that stalls must not have the
// dispatcher stand still. What can't be written is tried again until there is room.
type keeper struct {
	path  string
	spare bool // the one before is kept too, under .1
	fault func(error)
	next  chan []byte
	end   chan struct{}
	ended chan struct{}
}

func newKeeper(path string, spare bool, fault func(error)) *keeper {
	k := &keeper{path: path, spare: spare, fault: fault, next: make(chan []byte, 1), end: make(chan struct{}), ended: make(chan struct{})}
	go k.work()
	return k
}

// Keep is called by the loop, and by nobody else; it never waits.
func (k *keeper) Keep(b []byte) {
	select {
	case <-k.next: // an older one that nobody has begun to write
	default:
	}
	k.next <- b
}

func (k *keeper) work() {
	defer close(k.ended)
	for {
		var b []byte
		select {
		case b = <-k.next:
		case <-k.end:
			select {
			case b = <-k.next:
				_ = k.write(b)
			default:
			}
			return
		}
		for told := false; ; told = true {
			err := k.write(b)
			if err == nil {
				break
			}
			if !told {
				k.fault(err)
			}
			select {
			case b = <-k.next:
			case <-time.After(keepAgain):
			case <-k.end:
				return
			}
		}
	}
}

func (k *keeper) write(b []byte) error {
	if k.spare {
		_ = os.Rename(k.path, k.path+".1") // where there is none yet, or it could not be written last time, the spare stays
	}
	return replace(k.path, b)
}

// Close waits a little for what is still to be written.
func (k *keeper) Close() {
	close(k.end)
	select {
	case <-k.ended:
	case <-time.After(keepEnds):
	}
}

// replace writes a file in one step.
func replace(path string, b []byte) error {
	part := path + ".part"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(part, b, 0o600); err != nil {
		_ = os.Remove(part) // half a file would hold the room that is missing
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.Rename(part, path)
}
