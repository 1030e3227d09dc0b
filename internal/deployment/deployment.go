// Package deployment reads the program's input files in protobuf text format: a deployment, and scenarios to play
// against it.
//
// It owns the checks of both and the conversion to the scheduler's configuration. All errors of a text are reported
// together, each with its line, field and reason. It relies on the messages of package pb, whose field names are the
// operators' settings. It never changes a value of the text, and never repeats the value of a key in an error.
package deployment

import (
	_ "embed"
	"errors"
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment/pb"
)

// ErrNoFleet is returned where a simulated fleet is needed and the deployment describes none.
var ErrNoFleet = errors.New("the deployment describes no stand-in fleet (field fleet)")

// Deployment is a deployment that has passed all checks.
type Deployment struct{ *pb.Deployment }

//go:embed standard.textproto
var standard []byte

// Standard returns the built-in deployment.
func Standard() Deployment {
	d, err := Read("standard", standard)
	if err != nil {
		panic(err) // the embedded text is tested
	}
	return d
}

// Load reads a deployment from a file.
func Load(path string) (Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Deployment{}, fmt.Errorf("deployment: %w", err)
	}
	return Read(path, text)
}

// Read reads a deployment from a text; name is what errors call it. An error is an *InvalidError.
func Read(name string, text []byte) (Deployment, error) {
	message := &pb.Deployment{}
	return Deployment{message}, read(name, text, message, func(v *validator) { v.checkDeployment(message) })
}

// Text returns the deployment in the format that Read parses, or nil if it can't be encoded.
func (d Deployment) Text() []byte {
	b, err := prototext.MarshalOptions{Multiline: true}.Marshal(d.Deployment)
	if err != nil {
		return nil
	}
	return b
}

// BatchLimits returns the limits on calls with many inputs, with defaults for those that are 0.
func (d Deployment) BatchLimits() *pb.Batches {
	batches := &pb.Batches{}
	if d.Batches != nil {
		batches = proto.Clone(d.Batches).(*pb.Batches)
	}
	for field, value := range map[*uint32]uint32{
		&batches.PartTokens:      256,
		&batches.PartInputs:      16,
		&batches.InputsMost:      2048,
		&batches.DocumentsMost:   1000,
		&batches.InputTokensMost: 8192,
		&batches.BodyMost:        64 << 20,
		&batches.Window:          4 << 20,
	} {
		if *field == 0 {
			*field = value
		}
	}
	return batches
}
