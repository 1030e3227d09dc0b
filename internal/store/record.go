package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fileHeader is at the beginning of each file and names its format.
const fileHeader = "plumspindle store 1\n"

// A record on disk is the length of its payload, a checksum and the payload.
const (
	lengthBytes       = 4
	checksumBytes     = 8
	recordHeaderBytes = lengthBytes + checksumBytes
	maxRecordBytes    = 64 << 20
)

// appendRecord appends a payload as a record. The checksum covers the length too, so that a damaged length is
// not taken for that of another record.
func appendRecord(data, payload []byte) []byte {
	var header [recordHeaderBytes]byte
	length := uint32(len(payload))
	binary.LittleEndian.PutUint32(header[:lengthBytes], length)
	binary.LittleEndian.PutUint64(header[lengthBytes:], checksum(length, payload))
	data = append(data, header[:]...)
	return append(data, payload...)
}

func checksum(length uint32, payload []byte) uint64 {
	digest := xxhash.New()
	var encoded [lengthBytes]byte
	binary.LittleEndian.PutUint32(encoded[:], length)
	_, _ = digest.Write(encoded[:])
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// readRecord reads the record at the beginning of data. ok is false if there is no complete and undamaged one.
func readRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < recordHeaderBytes {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length > maxRecordBytes || int(length) > len(data)-recordHeaderBytes {
		return nil, 0, false
	}
	size = recordHeaderBytes + int(length)
	payload = data[recordHeaderBytes:size]
	if binary.LittleEndian.Uint64(data[lengthBytes:]) != checksum(length, payload) {
		return nil, 0, false
	}
	return payload, size, true
}
