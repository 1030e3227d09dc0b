package soak

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"plumspindle/internal/platform/guard"
	"plumspindle/internal/schedulerhost"
)

// maxLogLine is the limit on the length of a line in a dispatcher's log.
const maxLogLine = 1 << 20

// evaluate audits the records, reads the dispatchers' logs and adds both results to the report.
func (r *run) evaluate() error {
	var events []Event
	for _, path := range r.records {
		recorded, err := readRecord(path)
		if err != nil {
			return err
		}
		events = append(events, recorded...)
	}
	audit := NewAudit(events, r.Deadline)
	r.report.Findings = append(r.report.Findings, audit.Check()...)
	r.report.Requests = audit.sentRequests()
	for _, d := range r.dispatchers {
		if err := r.readLog(d, audit); err != nil {
			return fmt.Errorf("log of dispatcher %d: %w", d.number, err)
		}
	}
	return nil
}

// readLog adds to the report the violations, blocked sends and crashes that a dispatcher's log shows.
func (r *run) readLog(from *dispatcher, audit *Audit) error {
	file, err := os.Open(from.logs.file.Name())
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // closing a file that was only read loses nothing
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		stamp, text, _ := strings.Cut(lines.Text(), " ")
		at, err := strconv.ParseInt(stamp, 10, 64)
		if err != nil {
			return fmt.Errorf("a line does not begin with its time: %w", err)
		}
		if isExcusedLeaseOverrun(from, audit, at, text) {
			continue
		}
		if strings.Contains(text, guard.ViolationMessage) || strings.Contains(text, schedulerhost.SendBlockedMessage) {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("n%d: %s", from.number, text))
		}
		if strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
			r.addFinding(ruleCrash, "n%d: %s", from.number, text)
		}
	}
	return lines.Err()
}

// isExcusedLeaseOverrun reports whether a log line is about a KV state that the dispatcher could not release in time
// because it was partitioned from its endpoints.
func isExcusedLeaseOverrun(d *dispatcher, audit *Audit, at int64, text string) bool {
	return strings.Contains(text, strconv.Quote(guard.StateLease.String())) &&
		audit.wasPartitioned(strconv.Itoa(d.number+1), at-maxStateTime.Microseconds(), at)
}
