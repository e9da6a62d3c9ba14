package host

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/ledger"
)

const (
	// payloadCopies is the number of hosts that hold a payload.
	payloadCopies = 2
	// payloadLimit bounds the payload bytes of a host. A step of 16,384 samples of 8 KiB in
	// two copies over 22 hosts of a failure domain takes 12 MiB per host.
	payloadLimit = 256 << 20
	// payloadCopyTimeout bounds the copy to another host.
	payloadCopyTimeout = 2 * time.Second
	// collectTimeout bounds the reading of a batch from one holder.
	collectTimeout = 3 * time.Second
	// releaseInterval is the interval at which payloads that are no longer needed are
	// released, and releaseAge the age below which a payload may not be in the ledger yet.
	releaseInterval = 15 * time.Second
	releaseAge      = 60 * time.Second
)

// samplePayload is what the holders store of a sample. It names the slot, so that equal
// outputs of two slots have different digests.
type samplePayload struct {
	Tenancy string `cbor:"1,keyasint"`
	Step    string `cbor:"2,keyasint"`
	Slot    int    `cbor:"3,keyasint"`
	Attempt uint64 `cbor:"4,keyasint"`
	Output  string `cbor:"5,keyasint"`
}

func encodePayload(p samplePayload) ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, &errs.Corrupt{What: "sample payload", Detail: err.Error()}
	}
	return data, nil
}

func payloadDigest(data []byte) ledger.Digest { return sha256.Sum256(data) }

// payloadService keeps sample payloads on two hosts and reads them back.
type payloadService struct {
	self    string
	domain  string
	domains []string
	store   *payloadStore
	members *membershipService
	groups  *groups
	peer    func(host string) (rpc.PeerClient, error)
	log     *slog.Logger
}

// Start implements kernel.Service.
func (p *payloadService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("payloads/release", releaseInterval, p.release)
	return nil
}

// Stop implements kernel.Service.
func (p *payloadService) Stop(context.Context) error { return nil }

// Store keeps a payload here and on one other host, and returns the holders. A single
// holder is accepted when no other host can be reached: the slot is planned again if the
// payload is lost.
func (p *payloadService) Store(ctx context.Context, data []byte) (ledger.Digest, []string, error) {
	digest := payloadDigest(data)
	if err := p.store.Put(digest.String(), data); err != nil {
		return digest, nil, err
	}
	holders := []string{p.self}
	request := &rpc.PutPayloadRequest{Payloads: []*rpc.Payload{{Digest: digest.String(), Data: data}}}
	for _, host := range p.candidates(digest) {
		if err := p.copyTo(ctx, host, request); err != nil {
			p.log.Debug("payload is not copied", "host", host, "error", err)
			continue
		}
		return digest, append(holders, host), nil
	}
	return digest, holders, nil
}

func (p *payloadService) copyTo(ctx context.Context, host string, request *rpc.PutPayloadRequest) error {
	peer, err := p.peer(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, payloadCopyTimeout)
	defer cancel()
	_, err = peer.PutPayload(ctx, request)
	return err
}

// candidates returns up to two other hosts of the failure domain, spread by digest.
func (p *payloadService) candidates(digest ledger.Digest) []string {
	hosts := slices.DeleteFunc(p.members.Live(p.domain), func(h string) bool { return h == p.self })
	if len(hosts) == 0 {
		hosts = slices.DeleteFunc(p.members.Live(""), func(h string) bool { return h == p.self })
	}
	if len(hosts) == 0 {
		return nil
	}
	first := int(digest[0]) % len(hosts)
	return slices.Compact([]string{hosts[first], hosts[(first+1)%len(hosts)]})
}

// Collect reads the payloads of a batch. It returns the samples in order and the references
// whose payload no holder gave.
func (p *payloadService) Collect(ctx context.Context, refs []ledger.SampleRef) ([]api.Sample, []ledger.SampleRef) {
	found := make(map[string][]byte, len(refs))
	for round := range payloadCopies {
		p.read(ctx, p.missingByHolder(refs, found, round), found)
	}
	samples := make([]api.Sample, 0, len(refs))
	var lost []ledger.SampleRef
	for _, ref := range refs {
		var content samplePayload
		data, ok := found[ref.Digest.String()]
		if !ok || cbor.Unmarshal(data, &content) != nil {
			lost = append(lost, ref)
			continue
		}
		samples = append(samples, api.Sample{
			Slot: ref.Slot, Group: ref.Group, Output: content.Output, Tokens: int(ref.Tokens), Versions: ref.Versions,
		})
	}
	return samples, lost
}

// missingByHolder groups the digests that are not found yet by the holder to ask in a round.
func (p *payloadService) missingByHolder(refs []ledger.SampleRef, found map[string][]byte, round int) map[string][]string {
	byHost := make(map[string][]string)
	for _, ref := range refs {
		digest := ref.Digest.String()
		if _, ok := found[digest]; ok {
			continue
		}
		if data, ok := p.store.Get(digest); ok {
			found[digest] = data
			continue
		}
		if round < len(ref.Holders) {
			byHost[ref.Holders[round]] = append(byHost[ref.Holders[round]], digest)
		}
	}
	return byHost
}

// read asks all holders at the same time.
func (p *payloadService) read(ctx context.Context, byHost map[string][]string, found map[string][]byte) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for host, digests := range byHost {
		calls.Go(func() {
			for _, payload := range p.readFrom(ctx, host, digests) {
				if payloadDigest(payload.Data).String() != payload.Digest {
					p.log.Warn("payload does not match its digest", "host", host, "digest", payload.Digest)
					continue
				}
				mu.Lock()
				found[payload.Digest] = payload.Data
				mu.Unlock()
			}
		})
	}
	calls.Wait()
}

func (p *payloadService) readFrom(ctx context.Context, host string, digests []string) []*rpc.Payload {
	peer, err := p.peer(host)
	if err != nil {
		return nil
	}
	reply, err := peer.GetPayload(ctx, &rpc.GetPayloadRequest{Digests: digests})
	if err != nil {
		p.log.Warn("payloads cannot be read", "host", host, "error", err)
		return nil
	}
	return reply.Payloads
}

// release drops payloads that no home needs any more. When a home does not answer, nothing
// is dropped, because its ledger may still refer to payloads here.
func (p *payloadService) release(ctx context.Context) {
	if count, _ := p.store.Size(); count == 0 {
		return
	}
	needed := make(map[string]bool)
	for _, domain := range p.domains {
		digests, err := p.heldFor(ctx, domain)
		if err != nil {
			return
		}
		for _, digest := range digests {
			needed[digest.String()] = true
		}
	}
	if dropped := p.store.DropUnneeded(time.Now(), releaseAge, needed); dropped > 0 {
		p.log.Debug("payloads are released", "count", dropped)
	}
}

func (p *payloadService) heldFor(ctx context.Context, domain string) ([]ledger.Digest, error) {
	query, err := domainstate.EncodeHeldQuery(p.self)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	data, err := p.groups.Read(ctx, domainGroup(domain), query)
	if err != nil {
		return nil, err
	}
	return domainstate.DecodeHeldDigests(data)
}
