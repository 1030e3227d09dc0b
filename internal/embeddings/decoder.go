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
	// maxEncodedBody is how many bytes an encoded body may have as it arrives: it is buffered as a whole and decoded as
	// inputs may be buffered.
	maxEncodedBody   = 16 << 20
	maxDecoderMemory = 64 << 20
	decodeBuffer     = 32 << 10 // bytes decoded at once
)

// decoder undoes the content encoding of a body.
type decoder struct {
	encoding     string
	encoded      []byte
	plain        io.Reader // nil: not open
	decodedBytes int
	buffer       []byte
}

// newDecoder returns the decoder of a content encoding, nil for none.
func newDecoder(encoding string) *decoder {
	encoding = strings.ToLower(encoding)
	if encoding == "" || encoding == "identity" {
		return nil
	}
	return &decoder{encoding: encoding}
}

// add takes the next bytes of the encoded body.
func (d *decoder) add(data []byte) *frontend.Problem {
	if d.encoded = append(d.encoded, data...); len(d.encoded) > maxEncodedBody {
		return frontend.BodyTooLarge("A coded body may have %d bytes.", maxEncodedBody)
	}
	return nil
}

// open begins the decoding, where it has not begun.
func (d *decoder) open() *frontend.Problem {
	if d.plain != nil {
		return nil
	}
	plain, err := openEncoding(d.encoding, bytes.NewReader(d.encoded))
	if err != nil {
		return d.malformed()
	}
	d.plain = plain
	d.buffer = make([]byte, decodeBuffer)
	return nil
}

// openEncoding returns the plain form of what a source holds in an encoding.
func openEncoding(encoding string, source io.Reader) (io.Reader, error) {
	if encoding == "gzip" {
		return gzip.NewReader(source)
	}
	return zstd.NewReader(source, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory))
}

// read returns the next bytes of the plain body, which are valid until the next call; io.EOF comes with the last of
// them.
func (d *decoder) read() ([]byte, error) {
	size, err := d.plain.Read(d.buffer)
	d.decodedBytes += size
	return d.buffer[:size], err
}

// close ends the decoding and drops the encoded body.
func (d *decoder) close() {
	if decoder, ok := d.plain.(*zstd.Decoder); ok {
		decoder.Close()
	}
	d.plain, d.encoded = nil, nil
}

func (d *decoder) malformed() *frontend.Problem {
	return frontend.Invalid("", "invalid_coding", "The body can't be decoded as %s.", d.encoding)
}
