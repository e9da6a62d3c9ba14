package bootstraprpc

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fuchsiaflow/bootstrap"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/broadcast"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

// Intervals and timeouts of a candidate.
const (
	// tickInterval is the interval at which a candidate checks whether it may propose and whether the group exists already.
	tickInterval = 50 * time.Millisecond
	// probeInterval is the interval between two requests to a seed.
	probeInterval = 100 * time.Millisecond
	// requestTimeout bounds a request to a seed, which is a few milliseconds away but may wait for a sync of its disk.
	requestTimeout = 400 * time.Millisecond
	// reportInterval is the interval between two log lines of a candidate that waits.
	reportInterval = 2 * time.Second
	// spreadTime is how long a candidate goes on telling the seeds which list is decided.
	spreadTime = 10 * time.Second
)

// Options configures a Candidate. All fields are required.
type Options struct {
	Self   bootstrap.Candidate
	SelfIP string
	// Seeds are the IP addresses of the seeds.
	Seeds  []string
	Policy bootstrap.Policy
	// LocalSeed answers the requests of this host to itself.
	LocalSeed *Seed
	Peer      func(host string) (rpc.PeerClient, error)
	// GroupExists reports whether the group is known to exist, so that nothing is left to decide.
	GroupExists func() bool
	// Decided is called once with the initial voters. It is called again after an error.
	Decided func(ctx context.Context, voters []string) error
	// Join is called in place of Decided if the group exists but its initial voters are not known here. It is called again after an error.
	Join func() error
	Log  *slog.Logger
}

// Candidate asks the seeds until the initial voters are known. It implements kernel.Service.
type Candidate struct {
	opt   Options
	begin time.Time

	mu       sync.Mutex
	proposer *bootstrap.Proposer
	wake     broadcast.Signal
	done     chan struct{} // closed once the candidate knows what to do
}

// NewCandidate returns a candidate that is not started.
func NewCandidate(o Options) *Candidate {
	o.Seeds = slices.Compact(slices.Sorted(slices.Values(o.Seeds)))
	return &Candidate{opt: o, done: make(chan struct{})}
}

// Start implements kernel.Service.
func (c *Candidate) Start(_ context.Context, k *kernel.Kernel) error {
	c.begin = bootclock.Now()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.proposer = bootstrap.NewProposer(bootstrap.Options{Self: c.opt.Self, Start: clusterview.RandomIdentity(), Seeds: c.opt.Seeds, Policy: c.opt.Policy, Rand: source}, c.begin)
	for _, seed := range c.opt.Seeds {
		k.Go("bootstrap/"+seed, func(ctx context.Context) error {
			c.askSeed(ctx, seed)
			return nil
		})
	}
	k.Go("bootstrap", func(ctx context.Context) error {
		c.run(ctx)
		return nil
	})
	return nil
}

// Stop implements kernel.Service.
func (c *Candidate) Stop(context.Context) error { return nil }

// run drives the proposer until it knows what to do.
func (c *Candidate) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	reportAt := c.begin.Add(reportInterval)
	for {
		wake := c.wake.Next()
		finished, err := c.finish(ctx)
		if finished {
			close(c.done)
			return
		}
		c.tick()
		if now := bootclock.Now(); now.After(reportAt) {
			reportAt = now.Add(reportInterval)
			c.report(now, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

// finish hands over what is known of the group. It reports whether there is nothing left to do.
func (c *Candidate) finish(ctx context.Context) (finished bool, err error) {
	c.mu.Lock()
	voters := c.proposer.Decided()
	c.mu.Unlock()
	switch {
	case len(voters) > 0:
		c.opt.LocalSeed.Learn(voters)
		err = c.opt.Decided(ctx, voters)
	case c.opt.GroupExists():
		err = c.opt.Join()
	default:
		return false, nil
	}
	if err != nil {
		return false, err
	}
	c.opt.Log.Info("bootstrap finished", "replica", c.opt.Self.ID, "voters", voters, "is_voter", slices.Contains(voters, c.opt.Self.ID),
		"took_ms", bootclock.Now().Sub(c.begin).Milliseconds())
	return true, nil
}

func (c *Candidate) tick() {
	c.mu.Lock()
	changed := c.proposer.Tick(bootclock.Now())
	c.mu.Unlock()
	if changed {
		c.wake.Announce()
	}
}

// report logs what a candidate waits for. err is what keeps it from recording the initial voters, or nil.
func (c *Candidate) report(now time.Time, err error) {
	c.mu.Lock()
	p := c.proposer.Progress(now)
	c.mu.Unlock()
	c.opt.Log.Warn("bootstrap waits", "error", err, "phase", p.Phase, "seeds", len(c.opt.Seeds), "answered", p.Answered, "acceptors", p.Acceptors, "candidates", p.Candidates,
		"voters_wanted", c.opt.Policy.Voters, "waited_ms", now.Sub(c.begin).Milliseconds())
}

// askSeed sends requests to a seed until the candidate knows what to do and the seed knows the decision.
func (c *Candidate) askSeed(ctx context.Context, seed string) {
	var spreadUntil time.Time
	for ctx.Err() == nil {
		wake := c.wake.Next()
		informed := c.ask(ctx, seed)
		select {
		case <-c.done:
			if spreadUntil.IsZero() {
				spreadUntil = bootclock.Now().Add(spreadTime)
			}
			if informed || bootclock.Now().After(spreadUntil) {
				return
			}
		default:
		}
		select {
		case <-ctx.Done():
		case <-wake:
		case <-time.After(probeInterval):
		}
	}
}

// ask sends one request to a seed. It reports whether the seed knows the decision now.
func (c *Candidate) ask(ctx context.Context, seed string) (informed bool) {
	c.mu.Lock()
	request := c.proposer.Request(seed)
	c.mu.Unlock()
	reply, err := c.call(ctx, seed, &request)
	if err != nil {
		return false // asked again
	}
	c.mu.Lock()
	changed := c.proposer.Handle(bootclock.Now(), seed, &request, &reply)
	c.mu.Unlock()
	if changed {
		c.wake.Announce()
	}
	return len(reply.Decided) > 0
}

// call sends a request to a seed, which may be this host.
func (c *Candidate) call(ctx context.Context, seed string, request *bootstrap.Request) (reply bootstrap.Reply, err error) {
	if seed == c.opt.SelfIP {
		return c.opt.LocalSeed.Answer(request)
	}
	peer, err := c.opt.Peer(seed)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	m, err := peer.Bootstrap(ctx, &rpc.BootstrapRequest{Request: clusterview.Encode(request)})
	if err != nil {
		return reply, err
	}
	return clusterview.Decode[bootstrap.Reply]("bootstrap reply", m.Reply)
}
