// Package deployment reads the program's input files, which are in protobuf text format: deployments, and scenarios to
// run against a deployment.
//
// It validates both and converts a deployment to the scheduler's configuration. It reports all errors of a text
// together, each with its line, field and reason. The settings have the field names of the messages in package pb. The
// package never changes a value of the text, and its errors never contain the value of a key.
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

// ErrNoFleet means that a simulated fleet is needed but the deployment does not describe one.
var ErrNoFleet = errors.New("the deployment describes no simulated fleet (field fleet)")

// Deployment is a valid deployment.
type Deployment struct{ *pb.Deployment }

//go:embed standard.textproto
var standard []byte

// Standard returns the built-in deployment.
func Standard() Deployment {
	d, err := Read("standard", standard)
	if err != nil {
		panic(err) // can't happen, as a test checks the embedded text
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

// Read parses and validates a deployment. name identifies the text in errors. Every returned error is an *InvalidError.
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

// BatchLimits returns the limits for calls with many inputs, with defaults for limits that are 0.
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
