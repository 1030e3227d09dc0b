package deployment

import (
	"fmt"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// read parses a text into the message m. If there were no errors it then calls check, which validates m.
func read(name string, text []byte, m proto.Message, check func(*validator)) error {
	v := &validator{lines: map[string]int{}}
	nodes, err := parser.Parse(text)
	if err != nil {
		v.failAt(lineOfSyntaxError(text, m), "text", "not in protobuf text format: %v", err)
	} else {
		v.readMessage(m.ProtoReflect(), nodes, "")
		if len(v.errors) == 0 {
			check(v)
		}
	}
	if len(v.errors) > 0 {
		return &InvalidError{name, v.errors}
	}
	return nil
}

// lineOfSyntaxError returns the line of the first syntax error, or 1 if it is not known. It extracts the position from
// the text of prototext's error, as prototext does not report it in any other way.
func lineOfSyntaxError(text []byte, m proto.Message) int {
	err := prototext.Unmarshal(text, m.ProtoReflect().New().Interface())
	var line, column int
	if err != nil {
		if at := strings.Index(err.Error(), "(line "); at >= 0 {
			_, _ = fmt.Sscanf(err.Error()[at:], "(line %d:%d)", &line, &column)
		}
	}
	return max(line, 1)
}

// readMessage sets the fields of a message from the nodes of the parsed text. It parses each scalar separately, so that
// an error in one does not hide errors in the others.
func (v *validator) readMessage(message protoreflect.Message, nodes []*ast.Node, path string) {
	fields := message.Descriptor().Fields()
	seen := map[string]int{}
	for _, node := range nodes {
		if node.Name == "" {
			continue // the node is a comment
		}
		line := int(node.Start.Line) + len(node.PreComments)
		fieldPath := node.Name
		if path != "" {
			fieldPath = path + "." + node.Name
		}
		field := fields.ByTextName(node.Name)
		if field == nil {
			v.failAt(line, fieldPath, "unknown field")
			continue
		}
		if field.IsList() {
			fieldPath = fmt.Sprintf("%s[%d]", fieldPath, seen[node.Name])
		} else if seen[node.Name] > 0 {
			v.failAt(line, fieldPath, "given twice")
			continue
		}
		seen[node.Name]++
		v.lines[fieldPath] = line
		v.readField(message, field, node, fieldPath)
	}
}

func (v *validator) readField(
	message protoreflect.Message, field protoreflect.FieldDescriptor, node *ast.Node, path string,
) {
	isMessage := field.Kind() == protoreflect.MessageKind
	switch {
	case isMessage && len(node.Values) > 0:
		v.failAt(v.lines[path], path, "must be a message in braces")
	case isMessage && field.IsList():
		v.readMessage(message.Mutable(field).List().AppendMutable().Message(), node.Children, path)
	case isMessage:
		v.readMessage(message.Mutable(field).Message(), node.Children, path)
	case len(node.Children) > 0:
		v.failAt(v.lines[path], path, "must be a value, not a message")
	default:
		v.readScalar(message, node, path)
	}
}

func (v *validator) readScalar(message protoreflect.Message, node *ast.Node, path string) {
	var values []string
	for _, value := range node.Values {
		values = append(values, value.Value)
	}
	text := node.Name + ": " + strings.Join(values, " ")
	if node.ValuesAsList {
		text = node.Name + ": [" + strings.Join(values, ", ") + "]"
	}
	parsed := message.New().Interface()
	if err := prototext.Unmarshal([]byte(text), parsed); err != nil {
		reason := err.Error()
		const afterPosition = "): "
		if at := strings.LastIndex(reason, afterPosition); at >= 0 {
			reason = reason[at+len(afterPosition):]
		}
		v.failAt(v.lines[path], path, "%s", reason)
		return
	}
	proto.Merge(message.Interface(), parsed)
}
