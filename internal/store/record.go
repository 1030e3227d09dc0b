package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fileHeader is the beginning of each log segment and snapshot file. It identifies the format and its version.
const fileHeader = "plumspindle store 1\n"

// A record on disk consists of the length of its payload, a checksum and the payload.
const (
	lengthBytes       = 4
	checksumBytes     = 8
	recordHeaderBytes = lengthBytes + checksumBytes
	maxRecordBytes    = 64 << 20
)

// appendRecord appends a record with a payload to data. The checksum also covers the length, so that a damaged length
// is detected.
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

// readRecord reads the record at the beginning of data and returns its payload and its size on disk. ok is false if the
// record is incomplete or damaged.
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
