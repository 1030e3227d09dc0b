package embeddings

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"

	"github.com/klauspost/compress/zstd"

	"plumspindle/internal/frontend"
)

const (
	// maxEncodedBody is the maximum size of an encoded body in bytes. The encoded body is buffered as a whole, and
	// decoded as far as the buffer for inputs allows.
	maxEncodedBody   = 16 << 20
	maxDecoderMemory = 64 << 20 // bytes
	decodeBufferSize = 32 << 10 // bytes decoded at once
	// maxDecodedPerTurn is the number of decoded bytes after which other events are handled.
	maxDecodedPerTurn = 64 << 10
)

// decoder decodes a body that has a content encoding.
type decoder struct {
	encoding     string
	encoded      []byte
	decoded      io.Reader // nil before open and after close
	decodedBytes int
	buffer       []byte
}

// newDecoder returns the decoder for a content encoding, or nil for none.
func newDecoder(encoding string) *decoder {
	encoding = strings.ToLower(encoding)
	if encoding == "" || encoding == "identity" {
		return nil
	}
	return &decoder{encoding: encoding}
}

// add buffers the next bytes of the encoded body.
func (d *decoder) add(data []byte) *frontend.Problem {
	if d.encoded = append(d.encoded, data...); len(d.encoded) > maxEncodedBody {
		return frontend.BodyTooLarge("A coded body may have %d bytes.", maxEncodedBody)
	}
	return nil
}

// open begins the decoding unless it has already begun.
func (d *decoder) open() *frontend.Problem {
	if d.decoded != nil {
		return nil
	}
	decoded, err := openEncoding(d.encoding, bytes.NewReader(d.encoded))
	if err != nil {
		return d.malformed()
	}
	d.decoded = decoded
	d.buffer = make([]byte, decodeBufferSize)
	return nil
}

// openEncoding returns a reader that decodes a source. It decodes any encoding but gzip as zstd, because NewRequest's
// caller has rejected all other encodings.
func openEncoding(encoding string, source io.Reader) (io.Reader, error) {
	if encoding == "gzip" {
		return gzip.NewReader(source)
	}
	return zstd.NewReader(source, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory))
}

// read returns the next bytes of the decoded body, which are valid until the next call, and io.EOF at the end.
func (d *decoder) read() ([]byte, error) {
	size, err := d.decoded.Read(d.buffer)
	d.decodedBytes += size
	return d.buffer[:size], err
}

// close ends the decoding and drops the encoded body.
func (d *decoder) close() {
	if decoder, ok := d.decoded.(*zstd.Decoder); ok {
		decoder.Close()
	}
	d.decoded, d.encoded = nil, nil
}

// malformed returns the problem of a body that does not match its content encoding.
func (d *decoder) malformed() *frontend.Problem {
	return frontend.Invalid("", "invalid_coding", "The body can't be decoded as %s.", d.encoding)
}
