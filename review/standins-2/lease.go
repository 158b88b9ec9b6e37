package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/platform/wire"
)

// The figures of the sheet: lease_ttl_ms, thaw_ms, the length of a freeze that the bench takes if none is stated, the
// time between two steps of a trainer, and the number of model servers.
const (
	leaseTTL   = 3 * time.Second
	thaw       = 300 * time.Millisecond
	freezeTime = 5 * time.Second
	stepTime   = 4 * time.Second
	servers    = 35
)

// quiet is the time without an order after which the next one is the first of a round: the others follow within
// milliseconds.
const quiet = 300 * time.Millisecond

// freezes are the times in seconds, since the first version was named, after which the holder of the lease is frozen
// with the record of the first order of a round.
var freezes = []time.Duration{6, 17, 28, 39, 50, 61, 72, 83}

// leaseCase freezes the holder of the order lease while the answer to its renewal is on its way. Each record of the
// holder renews the lease; here it is one that also announces an order.
type leaseCase struct {
	r      *record
	store  *store
	hosts  map[string]*host
	mu     sync.Mutex
	orders []*order
	// thawed holds when each host was last thawed.
	thawed map[string]time.Time
	// armed is set while the first order of the next round is to be followed by a freeze, sent is when the record of
	// the last order was appended.
	armed bool
	sent  time.Time
}

func runLease(dir, folder string, trouble bool) (bool, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	c := &leaseCase{r: r, store: newStore(24), hosts: make(map[string]*host), thawed: make(map[string]time.Time)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	c.store.onAppend = c.appended
	go c.store.serve(l)
	config, err := os.ReadFile(filepath.Join(folder, "config.json"))
	if err != nil {
		return false, err
	}
	c.store.put(wire.Sources.Operators, "config", config)
	models := []string{"m0", "m1", "m2"}
	zones := []string{"bilbao", "oviedo", "santander"}
	for i := range servers {
		e, err := newEngine(fmt.Sprintf("i-%02d", i), "pluma", zones[i%3], models, c.store)
		if err != nil {
			return false, err
		}
		e.onOrder = c.ordered
	}
	for _, z := range zones {
		h, err := newHost(dir, "front-"+z, z, l.Addr().String())
		if err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.end()
		c.hosts[h.name] = h
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	go c.train(models)
	for _, at := range freezes {
		time.Sleep(time.Until(start.Add(at * time.Second)))
		c.mu.Lock()
		c.armed = trouble
		c.mu.Unlock()
	}
	time.Sleep(freezeTime + 4*time.Second)
	return c.judge()
}

// train names a version of each model each stepTime.
func (c *leaseCase) train(models []string) {
	for v := int64(2); ; v++ {
		for _, m := range models {
			b, _ := json.Marshal(map[string]any{"model": m, "version": v})
			c.r.add("trainer: %s version %d is named", m, v)
			c.store.put(wire.Sources.Operators, "version/"+m, b)
		}
		time.Sleep(stepTime)
	}
}

// appended is called before an append is answered. If a freeze is due, it freezes the host whose renewal that is.
func (c *leaseCase) appended(topic string, records [][]byte) {
	if topic != orderlease.Topic {
		return
	}
	x, err := orderlease.Decode(records[0])
	if err != nil {
		return
	}
	name := ""
	for n := range c.hosts {
		if len(x.Holder) > len(n) && x.Holder[:len(n)] == n {
			name = n
		}
	}
	what := "renewal"
	if x.Load != nil {
		what = fmt.Sprintf("order of %s version %d for %s", x.Load.Model, x.Load.Version, x.Load.Server)
	}
	c.r.add("store: record of %s, fence %d: %s", name, x.Fence, what)
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.Load == nil || name == "" {
		return
	}
	first := time.Since(c.sent) > quiet
	c.sent = time.Now()
	if !c.armed || !first {
		return
	}
	c.armed = false
	h := c.hosts[name]
	h.signal(syscall.SIGSTOP)
	c.r.add("freeze: %s stands still for %v as the answer to its renewal is on its way", name, freezeTime)
	time.AfterFunc(freezeTime, func() {
		c.mu.Lock()
		c.thawed[name] = time.Now()
		c.mu.Unlock()
		c.r.add("freeze: %s goes on", name)
		h.signal(syscall.SIGCONT)
	})
}

func (c *leaseCase) ordered(o *order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excused := o.at.Sub(c.thawed[o.Holder]) <= thaw
	c.r.add("server %s: order of %s version %d by %s, fence %d: %d, within thaw_ms: %v", o.server, o.Model, o.Version, o.Holder, o.Fence, o.status, excused)
	if !excused {
		c.orders = append(c.orders, o)
	}
}

// judge applies the rule ONE to the orders to each server, but for those within thaw_ms after their sender was thawed.
func (c *leaseCase) judge() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.orders) == 0 {
		return false, fmt.Errorf("no order reached a server")
	}
	held := true
	last := make(map[string]*order)
	holders := make(map[int64]string)
	for _, o := range c.orders {
		if n, ok := holders[o.Fence]; ok && n != o.Holder {
			held = false
			c.r.add("BROKEN: %s and %s order with the fencing token %d", n, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
		p := last[o.server]
		last[o.server] = o
		if p == nil || p.Holder == o.Holder {
			continue
		}
		d := o.at.Sub(p.at)
		if d < leaseTTL {
			held = false
			c.r.add("BROKEN: server %s gets orders of %s (fence %d) and %v later of %s (fence %d); lease_ttl_ms is %v",
				o.server, p.Holder, p.Fence, d.Round(time.Millisecond), o.Holder, o.Fence, leaseTTL)
		}
		if o.Fence < p.Fence {
			held = false
			c.r.add("BROKEN: server %s gets the fencing token %d of %s after %d of %s", o.server, o.Fence, o.Holder, p.Fence, p.Holder)
		}
	}
	c.r.add("%d orders counted; rule held: %v", len(c.orders), held)
	return held, nil
}
