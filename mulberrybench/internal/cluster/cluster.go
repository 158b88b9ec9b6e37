// Package cluster runs entry hosts and stand-ins for the quickstart, the scenarios and
// their benchmarks. All run in this process, each with its own listeners on loopback,
// unless Config.Launch starts the hosts in another way.
package cluster

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/mulberrybench/internal/standin"
	"mulberrypier.example/pier/settings"
)

// Config holds the parameters of a Cluster.
type Config struct {
	// Hosts, Engines and Services are the initial numbers of entry hosts, engines and
	// servers of the plain service.
	Hosts    int
	Engines  int
	Services int
	// Domains is the number of failure domains over which hosts, engines and services
	// are spread.
	Domains int
	// Capacity is the number of streams that an engine runs at once.
	Capacity int
	// Trainers are the names of the trainers; Bound is their staleness bound, in versions.
	Trainers []string
	Bound    int64
	// Engine and Lengths configure the model behind the engines.
	Engine  model.Config
	Lengths model.Lengths
	// LoadRate is the rate of the weight store, in loads per second; 0 means no limit.
	LoadRate float64
	// KeepRecords is the maximum number of records that each stream of the log retains;
	// 0 means no limit.
	KeepRecords int
	// ServiceDelay is how long a call to a plain service takes.
	ServiceDelay time.Duration
	// AdjustSettings, if set, modifies the settings of each host before the defaults are
	// filled in.
	AdjustSettings func(*settings.Settings)
	// Launch, if set, starts a host by other means than within this process.
	Launch func(*settings.Settings) (*Process, error)
	Log    *zap.Logger
}

// Cluster is a set of entry hosts with their stand-ins.
type Cluster struct {
	c        Config
	Log      *standin.Log
	HostList *standin.Hosts
	Weights  *standin.Weights
	Scorer   *standin.Scorer
	// Scored counts what the scorer scored, Executed what the plain services executed.
	Scored   *standin.ExecutionCounter
	Executed *standin.ExecutionCounter
	Balancer *standin.Balancer
	Engines  []*standin.Engine
	Services []*standin.Service

	mu    sync.Mutex
	hosts []*Host
	// partitions holds the pairs of host names that cannot reach each other.
	partitions map[[2]string]bool
	// conns holds the open connections between hosts.
	conns map[*partitionableConn]struct{}
}

// New starts the stand-ins and the hosts, and publishes the initial release note. If
// it fails, everything that was started is ended.
func New(ctx context.Context, c Config) (*Cluster, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	k := &Cluster{
		c: c, Scored: standin.NewExecutionCounter(), Executed: standin.NewExecutionCounter(),
		partitions: make(map[[2]string]bool), conns: make(map[*partitionableConn]struct{}),
	}
	if err := k.startStandIns(); err != nil {
		k.Close()
		return nil, err
	}
	for range c.Hosts {
		if _, err := k.AddHost(); err != nil {
			k.Close()
			return nil, err
		}
	}
	if err := k.publishInitialNote(ctx); err != nil {
		k.Close()
		return nil, err
	}
	return k, nil
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// startStandIns starts the stand-ins for the platform, the engines and the services.
// Every second engine checks fencing tokens.
func (k *Cluster) startStandIns() error {
	var err error
	if k.Log, err = standin.NewLog(standin.LogConfig{Address: loopback(), RetainedRecords: k.c.KeepRecords}); err != nil {
		return err
	}
	if k.Balancer, err = standin.NewBalancer(k.Callers); err != nil {
		return err
	}
	if k.HostList, err = standin.NewHosts(standin.HostsConfig{Address: loopback(), Lag: time.Second}); err != nil {
		return err
	}
	if k.Weights, err = standin.NewWeights(standin.WeightsConfig{Address: loopback(), Rate: k.c.LoadRate}); err != nil {
		return err
	}
	if k.Scorer, err = standin.NewScorer(standin.ScorerConfig{Address: loopback(), ExecutionCounter: k.Scored}); err != nil {
		return err
	}
	for i := range k.c.Engines {
		m := k.c.Engine
		m.Seed += uint64(i)
		e, err := standin.NewEngine(standin.EngineConfig{
			Address: loopback(), Model: m, Lengths: k.c.Lengths, RefuseStaleOrders: i%2 == 0, WeightStore: k.Weights.Address(),
		})
		if err != nil {
			return err
		}
		k.Engines = append(k.Engines, e)
	}
	for range k.c.Services {
		s, err := standin.NewService(standin.ServiceConfig{
			Address: loopback(), ExecutionCounter: k.Executed, Delay: k.c.ServiceDelay, ResponseBytes: 4096,
		})
		if err != nil {
			return err
		}
		k.Services = append(k.Services, s)
	}
	return nil
}

// Close kills all hosts and stand-ins.
func (k *Cluster) Close() {
	for _, h := range k.Up() {
		h.Up = false
		h.Process.Kill()
	}
	for _, e := range k.Engines {
		e.Close()
	}
	for _, s := range k.Services {
		s.Kill()
	}
	if k.Scorer != nil {
		k.Scorer.Kill()
	}
	if k.Weights != nil {
		k.Weights.Kill()
	}
	if k.HostList != nil {
		k.HostList.Kill()
	}
	if k.Balancer != nil {
		k.Balancer.Close()
	}
	if k.Log != nil {
		k.Log.Kill()
	}
}
