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

// maxLogLine is the longest line of a dispatcher's log that is read.
const maxLogLine = 1 << 20

// judge audits the records and reads the dispatchers' logs.
func (r *run) judge() error {
	var events []Event
	for _, path := range r.records {
		recorded, err := readRecord(path)
		if err != nil {
			return err
		}
		events = append(events, recorded...)
	}
	audit := NewAudit(events, r.Deadline)
	r.report.Findings = append(r.report.Findings, audit.Judge()...)
	r.report.Requests = audit.sentRequests()
	for _, d := range r.dispatchers {
		if err := r.readLog(d, audit); err != nil {
			return fmt.Errorf("log of dispatcher %d: %w", d.number, err)
		}
	}
	return nil
}

// readLog reads what a dispatcher's own guard reports, and whether it crashed.
func (r *run) readLog(from *dispatcher, audit *Audit) error {
	file, err := os.Open(from.logs.file.Name())
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // it was only read
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		stamp, text, _ := strings.Cut(lines.Text(), " ")
		at, err := strconv.ParseInt(stamp, 10, 64)
		if err != nil {
			return fmt.Errorf("a line without its time: %w", err)
		}
		if isExcusedOverrun(from, audit, at, text) {
			continue
		}
		if strings.Contains(text, guard.ViolationMessage) || strings.Contains(text, schedulerhost.SendBlocked) {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("n%d: %s", from.number, text))
		}
		if strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
			r.addFinding(ruleCrash, "n%d: %s", from.number, text)
		}
	}
	return lines.Err()
}

// isExcusedOverrun is true for a KV state that could not be released while no endpoint could be reached.
func isExcusedOverrun(d *dispatcher, audit *Audit, at int64, text string) bool {
	return strings.Contains(text, strconv.Quote(guard.StateLease.String())) &&
		audit.wasCutOff(strconv.Itoa(d.number+1), at-maxStateTime.Microseconds(), at)
}
