// Package logtrace finds the lines that tell what happened to a request, a step or
// a sample in the logs of all hosts.
//
// A line is one JSON object with "ts" and "msg". What stands before the object, as
// log collectors put it there, is taken for the host if its last word is one.
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

// lineMost bounds a line, in bytes.
const lineMost = 1 << 20

// Line is one line of a log.
type Line struct {
	At   time.Time
	Host string
	// Message begins with the part of the host that speaks, and a colon.
	Message string
	// Fields holds all other keys.
	Fields map[string]any
}

// Part returns the part of the host that wrote the line.
func (l *Line) Part() string {
	p, _, _ := strings.Cut(l.Message, ":")
	return p
}

// names reports whether a field of the line holds the value.
func (l *Line) names(v string) bool {
	for _, f := range l.Fields {
		if f == v {
			return true
		}
	}
	return false
}

// field returns the text of a field, or "".
func (l *Line) field(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// Read reads the lines of a log. Lines without a name of their host get host. It
// returns how many lines were no log lines; an error is an *outcome.Error.
func Read(r io.Reader, host string) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), lineMost)
	for s.Scan() {
		l, ok := parse(s.Bytes(), host)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return lines, skipped, outcome.RefuseFor(outcome.ReasonBadRequest, "log of "+host, err)
	}
	return lines, skipped, nil
}

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

// circumstances are the parts whose lines tell why a host could not do its work.
var circumstances = []string{"log", "drain", "host", "bug"}

// Of returns the lines about an id in the order of their time: those that name it,
// those about the step that its lines name, those about the servers and models in
// them, and what befell the hosts that wrote them. The latter are looked for from
// slack before the first line that names the id to slack after the last.
func Of(lines []Line, id string, slack time.Duration) []Line {
	var own []*Line
	ids := map[string]bool{id: true}
	for i := range lines {
		if l := &lines[i]; l.names(id) {
			own = append(own, l)
			if s := l.field("step"); s != "" {
				ids[s] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	about := gather(own, slack)
	var r []Line
	for _, l := range lines {
		if ids[l.field("id")] || l.names(id) || about.concerns(&l) {
			r = append(r, l)
		}
	}
	slices.SortStableFunc(r, func(a, b Line) int { return a.At.Compare(b.At) })
	return r
}

// scene is what a set of lines names.
type scene struct {
	from, to time.Time
	hosts    map[string]bool
	servers  map[string]bool
	models   map[string]bool
}

func gather(own []*Line, slack time.Duration) scene {
	s := scene{from: own[0].At, to: own[0].At, hosts: map[string]bool{}, servers: map[string]bool{}, models: map[string]bool{}}
	for _, l := range own {
		if l.At.Before(s.from) {
			s.from = l.At
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		s.hosts[l.Host] = true
		s.servers[l.field("server")] = true
		s.models[l.field("model")] = true
	}
	delete(s.servers, "")
	delete(s.models, "")
	s.from, s.to = s.from.Add(-slack), s.to.Add(slack)
	return s
}

// concerns reports whether a line tells of something in the scene.
func (s *scene) concerns(l *Line) bool {
	if l.At.Before(s.from) || l.At.After(s.to) {
		return false
	}
	switch l.Part() {
	case "servers":
		return s.servers[l.field("server")]
	case "orders":
		return s.servers[l.field("server")] || s.models[l.field("model")]
	}
	return s.hosts[l.Host] && slices.Contains(circumstances, l.Part())
}
