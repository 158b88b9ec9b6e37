package gateway

import (
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepplan"
)

// slotNeed is what a sample needs: a service, and what one of its engines must meet.
type slotNeed struct {
	service string
	need    stepplan.Need
}

// anyVersion is what a sample needs that any version may generate.
var anyVersion = stepplan.Need{}

// slotPicker finds free slots for the waiting samples of a step, one after the other. It asks
// once only for what it has not found: a slot that becomes free later counts from the next picker
// on, whatever the need that it meets.
type slotPicker struct {
	f     *fleet
	t     *routetable.Table
	model string
	// prompt is the prompt of the sample to start.
	prompt *promptload.Prompt
	// full holds the needs that no free slot meets.
	full map[slotNeed]bool
}

// pick picks an engine of a service that meets a need and reserves a slot there. A prompt that is held back
// says nothing of the free slots.
func (p *slotPicker) pick(service string, n stepplan.Need) (*reservation, bool) {
	k := slotNeed{service, n}
	if p.full[k] {
		return nil, false
	}
	u, ok := p.f.pickEngine(service, p.model, n, p.prompt, p.t.Slots(service))
	p.full[k] = !ok && !p.prompt.Held
	return u, ok
}

// hasFree reports whether an engine of one of the services has a free slot and meets a need.
func (p *slotPicker) hasFree(services []string, n stepplan.Need) bool {
	for _, s := range services {
		k := slotNeed{s, n}
		if !p.full[k] && p.f.hasFreeEngine(s, p.model, n, p.unmet(s), p.t.Slots(s)) {
			return true
		}
		p.full[k] = true
	}
	return false
}

// unmet returns the needs that no free slot of a service meets.
func (p *slotPicker) unmet(service string) []stepplan.Need {
	var r []stepplan.Need
	for k, full := range p.full {
		if full && k.service == service {
			r = append(r, k.need)
		}
	}
	return r
}
