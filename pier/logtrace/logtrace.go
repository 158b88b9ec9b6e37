// Package logtrace finds the log lines of all hosts that explain what happened to a
// request, a step or a sample.
//
// A line contains one JSON object with the keys "ts" and "msg". If there is text before
// the object, as log collectors add it, its last word is taken as the host's name.
package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"mulberrypier.example/pier/outcome"
)

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	At   time.Time
	Host string
	// Message begins with the part of the host that wrote the line, and a colon.
	Message string
	// Fields holds all keys other than "ts" and "msg".
	Fields map[string]any
}

// Part returns the part of the host that wrote the line, which is the message up to
// the first colon.
func (l *Line) Part() string {
	p, _, _ := strings.Cut(l.Message, ":")
	return p
}

// hasValue reports whether any field of the line has the value v.
func (l *Line) hasValue(v string) bool {
	for _, f := range l.Fields {
		if f == v {
			return true
		}
	}
	return false
}

// field returns the value of a field, or "" if it is absent or not a string.
func (l *Line) field(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// Read reads the lines of a log. Lines that do not name their host get the given host.
// Skipped is the number of lines that are not log lines. An error is an *outcome.Error;
// the lines read before it are returned too.
func Read(r io.Reader, host string) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		l, ok := parse(s.Bytes(), host)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return lines, skipped, outcome.RefuseWithCause(outcome.ReasonBadRequest, "log of "+host, err)
	}
	return lines, skipped, nil
}

// parse parses one line. It returns false if b is not a log line.
func parse(b []byte, host string) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Host: host}
	if json.Unmarshal(b[i:], &l.Fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.field("ts"))
	l.Message = l.field("msg")
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.At = at
	if w := bytes.Fields(b[:i]); len(w) > 0 {
		l.Host = string(w[len(w)-1])
	}
	delete(l.Fields, "ts")
	delete(l.Fields, "msg")
	return l, true
}

// hostParts lists the parts whose lines explain why a host could not do its work.
var hostParts = []string{"log", "drain", "host", "bug"}

// About returns the lines about an ID, sorted by time. These are the lines that contain the
// ID, the lines about the steps that those mention and about the same request or stream under
// other IDs, and related lines: those about the servers and models that they mention, and those on the
// state of the hosts that wrote them. Related lines are taken from slack before the first line
// that contains the ID to slack after the last.
func About(lines []Line, id string, slack time.Duration) []Line {
	var direct []*Line
	ids := map[string]bool{id: true}
	keys := make(map[string]bool)
	for i := range lines {
		if l := &lines[i]; l.hasValue(id) {
			direct = append(direct, l)
			if s := l.field("step"); s != "" {
				ids[s] = true
			}
			if s := l.field("resumes"); s != "" {
				ids[s] = true
			}
			if k := l.field("request-key"); k != "" {
				keys[k] = true
			}
		}
	}
	if len(direct) == 0 {
		return nil
	}
	rel := collectRelated(direct, slack)
	var r []Line
	for _, l := range lines {
		if ids[l.field("id")] || ids[l.field("resumes")] || keys[l.field("request-key")] || l.hasValue(id) || rel.matches(&l) {
			r = append(r, l)
		}
	}
	slices.SortStableFunc(r, func(a, b Line) int { return a.At.Compare(b.At) })
	return r
}

// related describes which lines are related to the lines that contain an ID.
type related struct {
	// from and to are the earliest and latest time of a related line.
	from, to time.Time
	hosts    map[string]bool
	servers  map[string]bool
	models   map[string]bool
}

// collectRelated collects the hosts, servers and models that the lines mention, and
// the period from slack before the first line to slack after the last.
func collectRelated(direct []*Line, slack time.Duration) related {
	s := related{
		from: direct[0].At, to: direct[0].At,
		hosts: map[string]bool{}, servers: map[string]bool{}, models: map[string]bool{},
	}
	for _, l := range direct {
		if l.At.Before(s.from) {
			s.from = l.At
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		s.hosts[l.Host] = true
		s.servers[l.field("server")] = true
		for _, n := range strings.FieldsFunc(l.field("at"), isSeparator) {
			s.servers[n] = true
		}
		s.models[l.field("model")] = true
	}
	delete(s.servers, "")
	delete(s.models, "")
	s.from, s.to = s.from.Add(-slack), s.to.Add(slack)
	return s
}

// isSeparator reports whether r ends a name in the field "at", which lists the servers that
// were asked or says what failed.
func isSeparator(r rune) bool { return r == ',' || r == ' ' }

// matches reports whether a line is related.
func (s *related) matches(l *Line) bool {
	if l.At.Before(s.from) || l.At.After(s.to) {
		return false
	}
	switch l.Part() {
	case "servers":
		return s.servers[l.field("server")]
	case "orders":
		return s.servers[l.field("server")] || s.models[l.field("model")]
	}
	return s.hosts[l.Host] && slices.Contains(hostParts, l.Part())
}
