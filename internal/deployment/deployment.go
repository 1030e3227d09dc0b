// Package deployment reads what the program is told at its start: protobuf text format, checked whole before
// use, with every fault named by line, field and reason.
package deployment

import (
	_ "embed"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"plumspindle/internal/deployment/pb"
	"plumspindle/scheduler"
)

// Deployment is the schema's message, found to be without fault.
type Deployment struct{ *pb.Deployment }

// FieldError is one thing that is wrong with a text.
type FieldError struct {
	Line   int
	Field  string
	Reason string
}

// InvalidError are all that are wrong with one text.
type InvalidError struct {
	Name   string
	Fields []FieldError
}

func (f *InvalidError) Error() string {
	var lines []string
	for _, one := range f.Fields {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", f.Name, one.Line, one.Field, one.Reason))
	}
	return strings.Join(lines, "\n")
}

//go:embed standard.textproto
var standard []byte

// Standard is the deployment that is served where none is given.
func Standard() Deployment {
	d, err := Read("standard", standard)
	if err != nil {
		panic(err) // it is built in, and a test reads it
	}
	return d
}

// Load reads a file.
func Load(path string) (Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Deployment{}, fmt.Errorf("deployment: %w", err)
	}
	return Read(path, text)
}

// reading collects the faults of one text, and where each field stands in it.
type reading struct {
	faults []FieldError
	lines  map[string]int
}

func (r *reading) fault(line int, field, format string, args ...any) {
	r.faults = append(r.faults, FieldError{line, field, fmt.Sprintf(format, args...)})
}

// wrong is a fault of a field that may be missing from the text; then its place is that of what it belongs to.
func (r *reading) wrong(path, format string, args ...any) {
	at := path
	for {
		if line, known := r.lines[at]; known {
			r.fault(line, path, format, args...)
			return
		}
		cut := strings.LastIndexAny(at, ".")
		if cut < 0 {
			r.fault(1, path, format, args...)
			return
		}
		at = at[:cut]
	}
}

// Read reads a text. The error, where there is one, is *Faults.
func Read(name string, text []byte) (Deployment, error) {
	m := &pb.Deployment{}
	return Deployment{m}, read(name, text, m, func(r *reading) { r.check(m) })
}

// ReadScenario reads a day's script in the same way; kinds are the sorts of trouble that can be played.
func ReadScenario(name string, text []byte, kinds []string) (*pb.Day, error) {
	m := &pb.Day{}
	return m, read(name, text, m, func(r *reading) {
		if m.Seconds == 0 || m.Seconds > 86400 {
			r.wrong("seconds", "must be from 1 to 86400")
		}
		if !(m.Rate > 0 && m.Rate <= 10000) {
			r.wrong("rate", "must be above 0 and at most 10000 generations a second")
		}
		for i, t := range m.Troubles {
			at := fmt.Sprintf("troubles[%d]", i)
			if !slices.Contains(kinds, t.Kind) {
				r.wrong(at+".kind", "there is no trouble %q; known are %s", t.Kind, strings.Join(kinds, ", "))
			}
			if t.AtMs >= m.Seconds*1000 {
				r.wrong(at+".at_ms", "lies past the day's end")
			}
			if !(t.Share >= 0 && t.Share <= 1) {
				r.wrong(at+".share", "must be a share from 0 to 1")
			}
		}
	})
}

func read(name string, text []byte, m proto.Message, check func(*reading)) error {
	r := &reading{lines: map[string]int{}}
	nodes, err := parser.Parse(text)
	if err != nil {
		r.fault(lineOf(text, m), "text", "not in protobuf text format: %v", err)
	} else {
		r.message(m.ProtoReflect(), nodes, "")
		if len(r.faults) == 0 {
			check(r)
		}
	}
	if len(r.faults) > 0 {
		return &InvalidError{name, r.faults}
	}
	return nil
}

// lineOf finds where a text stops being readable.
func lineOf(text []byte, m proto.Message) int {
	err := prototext.Unmarshal(text, m.ProtoReflect().New().Interface())
	var line, column int
	if err != nil {
		if at := strings.Index(err.Error(), "(line "); at >= 0 {
			_, _ = fmt.Sscanf(err.Error()[at:], "(line %d:%d)", &line, &column)
		}
	}
	return max(line, 1)
}

// message takes the fields of one message out of the text's tree. Each scalar is read by prototext on its own, so
// that one that is wrong does not hide the next.
func (r *reading) message(m protoreflect.Message, nodes []*ast.Node, path string) {
	fields := m.Descriptor().Fields()
	seen := map[string]int{}
	for _, n := range nodes {
		if n.Name == "" {
			continue // a comment
		}
		line := int(n.Start.Line) + len(n.PreComments)
		at := n.Name
		if path != "" {
			at = path + "." + n.Name
		}
		f := fields.ByTextName(n.Name)
		if f == nil {
			r.fault(line, at, "unknown field")
			continue
		}
		if f.IsList() {
			at = fmt.Sprintf("%s[%d]", at, seen[n.Name])
		} else if seen[n.Name] > 0 {
			r.fault(line, at, "given twice")
			continue
		}
		seen[n.Name]++
		r.lines[at] = line
		switch {
		case f.Kind() == protoreflect.MessageKind && len(n.Values) > 0:
			r.fault(line, at, "wants a message in braces")
		case f.Kind() == protoreflect.MessageKind && f.IsList():
			r.message(m.Mutable(f).List().AppendMutable().Message(), n.Children, at)
		case f.Kind() == protoreflect.MessageKind:
			r.message(m.Mutable(f).Message(), n.Children, at)
		case len(n.Children) > 0:
			r.fault(line, at, "wants a value, not a message")
		default:
			r.scalar(m, n, line, at)
		}
	}
}

func (r *reading) scalar(m protoreflect.Message, n *ast.Node, line int, at string) {
	var values []string
	for _, v := range n.Values {
		values = append(values, v.Value)
	}
	text := n.Name + ": " + strings.Join(values, " ")
	if n.ValuesAsList {
		text = n.Name + ": [" + strings.Join(values, ", ") + "]"
	}
	one := m.New().Interface()
	if err := prototext.Unmarshal([]byte(text), one); err != nil {
		reason := err.Error()
		if cut := strings.LastIndex(reason, "): "); cut >= 0 {
			reason = reason[cut+3:]
		}
		r.fault(line, at, "%s", reason)
		return
	}
	proto.Merge(m.Interface(), one)
}

// check holds the values against each other and against what can be served.
func (r *reading) check(m *pb.Deployment) {
	unique := func(what string, n int, name func(int) string) map[string]bool {
		known := map[string]bool{}
		for i := range n {
			at := fmt.Sprintf("%s[%d]", what, i)
			switch s := name(i); {
			case s == "":
				r.wrong(at, "has no name")
			case known[s]:
				r.wrong(at, "the name %q is taken", s)
			default:
				known[s] = true
			}
		}
		return known
	}
	positive := func(path string, values map[string]float64) {
		for _, name := range sortedKeys(values) {
			if !(values[name] > 0) || math.IsInf(values[name], 0) {
				r.wrong(path+"."+name, "must be above 0")
			}
		}
	}
	share := func(path string, v float64) {
		if !(v >= 0 && v <= 1) {
			r.wrong(path, "must be a share from 0 to 1, not %v", v)
		}
	}
	if len(m.Zones) == 0 {
		r.wrong("zones", "there must be one at least")
	}
	if len(m.Zones) > 250 || len(m.Kinds) > 250 || len(m.Products) > 250 {
		r.wrong("zones", "more than 250 zones, kinds or products can't be told apart")
	}
	unique("zones", len(m.Zones), func(i int) string { return m.Zones[i] })
	unique("products", len(m.Products), func(i int) string { return m.Products[i].Name })
	kinds := unique("kinds", len(m.Kinds), func(i int) string { return m.Kinds[i].Name })
	unique("tenants", len(m.Tenants), func(i int) string { return m.Tenants[i].Name })
	if len(m.Products) == 0 {
		r.wrong("products", "there must be one at least")
	}
	for i, p := range m.Products {
		at := fmt.Sprintf("products[%d]", i)
		wanted := map[string]float64{"slo_ms": float64(p.SloMs), "time_limit_ms": float64(p.TimeLimitMs), "revenue": p.Revenue}
		if p.Form == pb.Product_CHAT {
			wanted["token_slo_ms"], wanted["most_tokens"] = float64(p.TokenSloMs), float64(p.MostTokens)
		}
		positive(at, wanted)
		share(at+".late_share", p.LateShare)
		if p.Effect == pb.Product_EFFECT_UNSPECIFIED {
			r.wrong(at+".effect", "must be stated: IDEMPOTENT, DEDUPLICATED or SIDE_EFFECTING")
		}
		if p.Form != pb.Product_CHAT && p.Effect != pb.Product_IDEMPOTENT {
			r.wrong(at+".effect", "must be IDEMPOTENT: what is only read may always be read again")
		}
		if (p.Dimensions > 0) != (p.Form == pb.Product_EMBEDDING) || p.Dimensions > 16384 {
			r.wrong(at+".dimensions", "is for products of form EMBEDDING, and those must have 1 to 16384")
		}
		if p.Intent != pb.Product_WITH_READ && p.Effect == pb.Product_IDEMPOTENT {
			r.wrong(at+".intent", "is for products that may not simply run again; nothing is written down of an IDEMPOTENT one")
		}
		if p.TimeLimitMs < p.SloMs {
			r.wrong(at+".time_limit_ms", "is below slo_ms")
		}
		if (p.WindowMs > 0) != (p.Effect == pb.Product_DEDUPLICATED) {
			r.wrong(at+".window_ms", "is for DEDUPLICATED products, and those must have one")
		}
		if p.Group != pb.Product_ALL_HOSTS && p.Effect != pb.Product_DEDUPLICATED {
			r.wrong(at+".group", "is for DEDUPLICATED products")
		}
	}
	reads, writes := false, false
	for i, k := range m.Kinds {
		at := fmt.Sprintf("kinds[%d]", i)
		positive(at, map[string]float64{"memory_tokens": float64(k.MemoryTokens)})
		switch k.Role {
		case pb.Kind_READER:
			reads = true
		case pb.Kind_WRITER:
			writes = true
		case pb.Kind_MIXED:
			reads, writes = true, true
		case pb.Kind_EMBEDDER: // serves no chat; readers do what it does
		default:
			r.wrong(at+".role", "must be stated: READER, WRITER or MIXED")
		}
	}
	if !reads || !writes {
		r.wrong("kinds", "no kind reads, or none writes")
	}
	keys := map[string]bool{}
	for i, t := range m.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		if len(t.KeySha256) == 0 {
			r.wrong(at, "has no key")
		}
		for j, k := range t.KeySha256 {
			field := fmt.Sprintf("%s.key_sha256[%d]", at, j)
			if raw, err := hex.DecodeString(k); err != nil || len(raw) != 32 {
				r.wrong(field, "must be 64 hexadecimal digits") // the value stays out of the message: it may be a key
			} else if keys[strings.ToLower(k)] {
				r.wrong(field, "the key is given twice")
			}
			keys[strings.ToLower(k)] = true
		}
		if !(t.QuotaPerS >= 0) || math.IsInf(t.QuotaPerS, 0) {
			r.wrong(at+".quota_per_s", "must not be below 0")
		}
	}
	if m.Rules == nil {
		r.wrong("rules", "is missing")
	} else {
		u := m.Rules
		positive("rules", map[string]float64{"drain_grace_ms": float64(u.DrainGraceMs), "let_go_ms": float64(u.LetGoMs),
			"cold_ms": float64(u.ColdMs), "cold_from": u.ColdFrom, "fall_multiple": u.FallMultiple, "fall_ms": float64(u.FallMs)})
		share("rules.cold_from", u.ColdFrom)
		share("rules.over_share_worth", u.OverShareWorth)
	}
	if m.Dispatching == nil {
		r.wrong("dispatching", "is missing")
	} else {
		d := m.Dispatching
		positive("dispatching", map[string]float64{"dispatchers": float64(d.Dispatchers), "connect_ms": float64(d.ConnectMs),
			"idle_ms": float64(d.IdleMs), "silence_ms": float64(d.SilenceMs), "connections": float64(d.Connections),
			"openings": float64(d.Openings)})
		if d.LegLimit < 2 {
			r.wrong("dispatching.leg_limit", "must be 2 at least: a read and a write")
		}
	}
	if b := m.Batches; b != nil {
		if b.BodyMost > 1<<30 || b.Window > 1<<30 || b.PartInputs > 4096 || b.FixedLimit > 1<<20 {
			r.wrong("batches", "a bound is beyond what can be kept: body_most and window are 1 GiB at most, part_inputs 4096, fixed_limit 1048576")
		}
	}
	if m.Doors == nil {
		r.wrong("doors", "is missing")
	} else {
		d := m.Doors
		positive("doors", map[string]float64{"open_most": float64(d.OpenMost), "body_most": float64(d.BodyMost),
			"head_most": float64(d.HeadMost), "message_ms": float64(d.MessageMs), "stall_ms": float64(d.StallMs),
			"unsent_most": float64(d.UnsentMost), "remember_most": float64(d.RememberMost),
			"remember_bytes": float64(d.RememberBytes), "remember_ms": float64(d.RememberMs)})
	}
	if f := m.Fleet; f != nil {
		positive("fleet", map[string]float64{"cells_per_zone": float64(f.CellsPerZone), "cell_tokens_per_s": f.CellTokensPerS,
			"link_tokens_per_s": f.LinkTokensPerS, "far_factor": f.FarFactor, "lease_ms": float64(f.LeaseMs)})
		for i, g := range f.Groups {
			at := fmt.Sprintf("fleet.groups[%d]", i)
			if !kinds[g.Kind] {
				r.wrong(at+".kind", "there is no kind %q", g.Kind)
			}
			positive(at, map[string]float64{"hosts_per_zone": float64(g.HostsPerZone), "slots": float64(g.Slots),
				"step_us": float64(g.StepUs)})
		}
	}
}

func sortedKeys(m map[string]float64) []string {
	return slices.Sorted(maps.Keys(m))
}

// unlimited is a quota that nobody reaches; infinity would turn into no number where it is multiplied by a time of 0.
const unlimited = 1e9

const tick = 4 * 1000 // µs; the module gives up two of them before a client's limit

var roles = map[pb.Kind_Role]scheduler.Role{pb.Kind_READER: scheduler.Prefill, pb.Kind_WRITER: scheduler.Decode,
	pb.Kind_MIXED: scheduler.Mixed, pb.Kind_EMBEDDER: scheduler.Embedder}
var effects = map[pb.Product_Effect]scheduler.Effect{pb.Product_IDEMPOTENT: scheduler.Idempotent,
	pb.Product_DEDUPLICATED: scheduler.Deduplicated, pb.Product_SIDE_EFFECTING: scheduler.NonIdempotent}
var groups = map[pb.Product_Group]scheduler.Group{pb.Product_ALL_HOSTS: scheduler.AllEndpoints,
	pb.Product_SAME_ZONE: scheduler.SameZone, pb.Product_SAME_CELL: scheduler.SameCell}

func micros(ms uint32) scheduler.Micros { return scheduler.Micros(ms) * 1000 }

// SchedulerConfig is what the decision module is handed of it.
func (d Deployment) SchedulerConfig() scheduler.Config {
	place := scheduler.Config{
		Dispatchers: int(d.Dispatching.Dispatchers), OverQuotaWeight: d.Rules.OverShareWorth,
		DecodePrefills: d.Dispatching.WritersRead, MaxAttempts: int(d.Dispatching.LegLimit), CancelAllowed: d.Dispatching.MayCancel,
		MaxRetryAfter: micros(d.Dispatching.MaxComeBackMs), TickInterval: tick, IdleTimeout: micros(d.Dispatching.IdleMs), ConnectTimeout: micros(d.Dispatching.ConnectMs),
		WarmUp: micros(d.Rules.ColdMs), SlowStartFactor: d.Rules.ColdFrom, OverloadWindow: micros(d.Rules.FallMs),
		OverloadFactor: d.Rules.FallMultiple}
	for _, p := range d.Products {
		place.Classes = append(place.Classes, scheduler.Class{SLO: micros(p.SloMs), SLOPer1000: micros(p.SloMsPer_1000Tokens),
			TokenSLO: micros(p.TokenSloMs), Window: micros(p.WindowMs), Revenue: p.Revenue, LateRevenueShare: p.LateShare,
			Effect: effects[p.Effect], Group: groups[p.Group], PrefillOnly: p.Form != pb.Product_CHAT})
	}
	for _, k := range d.Kinds {
		place.Kinds = append(place.Kinds, scheduler.Kind{Role: roles[k.Role], Memory: float64(k.MemoryTokens)})
	}
	for _, t := range d.Tenants {
		quota := t.QuotaPerS
		if quota == 0 {
			quota = unlimited
		}
		place.Quotas = append(place.Quotas, quota)
	}
	return place
}

// Text is the deployment in the form that Read takes.
func (d Deployment) Text() []byte {
	b, err := prototext.MarshalOptions{Multiline: true}.Marshal(d.Deployment)
	if err != nil {
		return nil
	}
	return b
}

// ErrNoFleet is for what needs the stand-in fleet.
var ErrNoFleet = errors.New("the deployment describes no stand-in fleet (field fleet)")

// BatchLimits is what calls with many inputs are held to, with what is not stated filled in.
func (d Deployment) BatchLimits() *pb.Batches {
	b := &pb.Batches{}
	if d.Batches != nil {
		b = proto.Clone(d.Batches).(*pb.Batches)
	}
	for at, usual := range map[*uint32]uint32{&b.PartTokens: 256, &b.PartInputs: 16, &b.InputsMost: 2048, &b.DocumentsMost: 1000,
		&b.InputTokensMost: 8192, &b.BodyMost: 64 << 20, &b.Window: 4 << 20} {
		if *at == 0 {
			*at = usual
		}
	}
	return b
}
