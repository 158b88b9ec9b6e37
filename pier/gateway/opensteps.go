package gateway

import "mulberrypier.example/pier/routetable"

// openSamples is the number of samples of a step by service: those that wait, and all.
type openSamples struct {
	waiting, all map[string]int
	// count is the number of those that wait for any service.
	count int
}

// showOpen shows the samples that wait to other goroutines, where hosts order servers.
func (d *stepDriver) showOpen() {
	t := d.g.Table()
	if t == nil || !d.g.scaling.enabled() {
		return
	}
	if o := d.open.Load(); o != nil && d.sizesTable == t && o.count == len(d.waiting) {
		return
	}
	if d.sizesTable != t {
		d.sizesTable, d.sizes = t, d.countByService(t, d.samples)
	}
	d.open.Store(&openSamples{count: len(d.waiting), waiting: d.countByService(t, d.waiting), all: d.sizes})
}

// countByService returns the number of samples by the service that they use first.
func (d *stepDriver) countByService(t *routetable.Table, l []*sample) map[string]int {
	r := make(map[string]int)
	for _, s := range l {
		if services := d.services(t, s); len(services) > 0 {
			r[services[0]]++
		}
	}
	return r
}

// open returns the number of samples that wait, and that of all samples of the largest step, by service.
func (p *steps) open() (waiting, largest map[string]int) {
	waiting, largest = make(map[string]int), make(map[string]int)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.running {
		o := d.open.Load()
		if o == nil {
			continue
		}
		for s, n := range o.waiting {
			waiting[s] += n
		}
		for s, n := range o.all {
			largest[s] = max(largest[s], n)
		}
	}
	return waiting, largest
}
