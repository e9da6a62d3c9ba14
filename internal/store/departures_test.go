package store

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/control"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/storage"
)

// testStore is a store host and the calls that it serves.
type testStore struct {
	*control.Control
	st *Store
}

// startSingleStore starts the only store host of a system. It returns the calls of operators and targets, and a
// function that stops the host.
func startSingleStore(t *testing.T, dir string, peerPort int) (c *testStore, stop func()) {
	t.Helper()
	s := &settings.Role{Host: "h", IP: "127.0.0.1", PeerPort: peerPort, Seeds: []string{"127.0.0.1"}, Bootstrap: true, DataDir: dir,
		Listen: settings.RoleListen{Control: "127.0.0.1:0"}, Timing: settings.RoleTiming{Grace: time.Second}}
	st, err := New(Options{Settings: s, Control: func(*control.Control) http.Handler { return http.NotFoundHandler() },
		Log: slog.New(slog.DiscardHandler), Metrics: observe.NewMetrics(), Tracing: observe.NewNoopTracing(), FS: storage.OS{}})
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = st.Shutdown(ctx)
	}
	return &testStore{st.calls, st}, stop
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// awaitNil waits until a call succeeds, as when the group has elected a leader.
func awaitNil(t *testing.T, what string, call func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if err = call(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// Guards against a target that is used again after its departure was acknowledged: all store hosts restart, and
// a heartbeat that the target sent before arrives late.
func TestAcknowledgedDepartureSurvivesRestart(t *testing.T) {
	ready := fleet.Target{ID: "t", Service: "s", Address: "127.0.0.9:1", State: fleet.Ready, Incarnation: 7, Sequence: 5}
	draining := ready
	draining.State, draining.Sequence = fleet.Draining, 6
	departures := map[string]func(c *testStore) error{
		"deregistered": func(c *testStore) error { return c.DeregisterTarget(t.Context(), "t") },
		"draining":     func(c *testStore) error { return c.HandleHeartbeat(t.Context(), draining) },
	}
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			dir, port := t.TempDir(), freePort(t)
			c, stop := startSingleStore(t, dir, port)
			awaitNil(t, "first heartbeat", func() error { return c.HandleHeartbeat(t.Context(), ready) })
			awaitNil(t, "departure", func() error { return depart(c) })
			stop()
			c, stop = startSingleStore(t, dir, port)
			defer stop()
			awaitNil(t, "weight version", func() error { return c.PutVersion(t.Context(), "m", 2) }) // the log is applied
			late := ready
			late.Sequence = 9
			awaitNil(t, "late heartbeat", func() error { return c.HandleHeartbeat(t.Context(), late) })
			if list := c.st.view.Serving("s"); len(list) != 0 {
				t.Errorf("serving after the late heartbeat: %+v", list)
			}
			next := ready
			next.Incarnation = 8
			awaitNil(t, "heartbeat of the next incarnation", func() error { return c.HandleHeartbeat(t.Context(), next) })
			if list := c.st.view.Serving("s"); len(list) != 1 {
				t.Errorf("serving after a new start of the target: %+v, want it", list)
			}
		})
	}
}

// Guards against a departure that is acknowledged although no restart would keep it.
func TestDepartureIsNotAcknowledgedWithoutLeader(t *testing.T) {
	st := mustNewStore(t, t.TempDir(), observe.NewMetrics())
	c := &testStore{st.calls, st}
	target := fleet.Target{ID: "t", Service: "s", Address: "127.0.0.9:1", State: fleet.Draining, Incarnation: 7, Sequence: 5}
	if err := c.HandleHeartbeat(t.Context(), target); errs.CodeOf(err) != errs.CodeUnavailable {
		t.Errorf("got error %v, want errs.Unavailable", err)
	}
	target.State = fleet.Ready
	if err := c.HandleHeartbeat(t.Context(), target); err != nil {
		t.Errorf("a heartbeat of a target that stays needs no leader: %v", err)
	}
}

// Guards against a target that one host takes out of use for all, against one that stays in use though two hosts have
// seen that it leaves, and against notices that a restart of the store hosts loses.
func TestNoticesOfTwoHostsAreADeparture(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	ready := fleet.Target{ID: "t", Service: "s", Address: "127.0.0.9:1", State: fleet.Ready, Incarnation: 7, Sequence: 5}
	notice := func(c *testStore, host string) {
		command := storestate.EncodeCommand(&storestate.Command{NoticeDeparture: &storestate.NoticeDeparture{
			Departure: fleet.Departure{Target: "t", Incarnation: 7}, Host: host}})
		awaitNil(t, "notice of "+host, func() error {
			_, err := c.st.Propose(t.Context(), command)
			return err
		})
	}
	checkServing := func(c *testStore, want int, when string) {
		t.Helper()
		awaitNil(t, "heartbeat", func() error { return c.HandleHeartbeat(t.Context(), ready) })
		if got := len(c.st.view.Serving("s")); got != want {
			t.Errorf("%s: %d targets serve, want %d", when, got, want)
		}
	}
	c, stop := startSingleStore(t, dir, port)
	notice(c, "10.0.0.1")
	notice(c, "10.0.0.1")
	checkServing(c, 1, "two notices of one host")
	stop()
	c, stop = startSingleStore(t, dir, port)
	awaitNil(t, "weight version", func() error { return c.PutVersion(t.Context(), "m", 2) }) // the log is applied
	checkServing(c, 1, "a restart")
	notice(c, "10.0.0.2")
	checkServing(c, 0, "the notice of a second host")
	stop()
	c, stop = startSingleStore(t, dir, port)
	defer stop()
	awaitNil(t, "weight version", func() error { return c.PutVersion(t.Context(), "m", 3) })
	checkServing(c, 0, "another restart")
}

// Guards against a target that is out of use after a new start, because the deregistration of its earlier incarnation
// was held up.
func TestLateDeregistrationDoesNotEndTheNextIncarnation(t *testing.T) {
	c, stop := startSingleStore(t, t.TempDir(), freePort(t))
	defer stop()
	target := fleet.Target{ID: "t", Service: "s", Address: "127.0.0.9:1", State: fleet.Ready, Incarnation: 7, Sequence: 5}
	awaitNil(t, "heartbeat", func() error { return c.HandleHeartbeat(t.Context(), target) })
	target.Incarnation, target.Sequence = 8, 1
	awaitNil(t, "heartbeat of the next incarnation", func() error { return c.HandleHeartbeat(t.Context(), target) })
	if err := c.DeregisterTarget(t.Context(), "t"); errs.CodeOf(err) != errs.CodeUnavailable {
		t.Errorf("late deregistration: error %v, want errs.Unavailable", err)
	}
	if list := c.st.view.Serving("s"); len(list) != 1 || list[0].Incarnation != 8 {
		t.Errorf("serving: %+v, want the next incarnation", list)
	}
}

// Guards against the acknowledgement of a departure that does not end the use of the target.
func TestDepartureOfAnEarlierStartIsNotAcknowledged(t *testing.T) {
	c, stop := startSingleStore(t, t.TempDir(), freePort(t))
	defer stop()
	target := fleet.Target{ID: "t", Service: "s", Address: "127.0.0.9:1", State: fleet.Ready, Incarnation: 9, Sequence: 5}
	awaitNil(t, "heartbeat", func() error { return c.HandleHeartbeat(t.Context(), target) })
	awaitNil(t, "weight version", func() error { return c.PutVersion(t.Context(), "m", 2) }) // there is a leader
	target.Incarnation, target.State, target.Sequence = 7, fleet.Draining, 20
	if err := c.HandleHeartbeat(t.Context(), target); errs.CodeOf(err) != errs.CodeUnavailable {
		t.Errorf("got error %v while %+v serve, want errs.Unavailable", err, c.st.view.Serving("s"))
	}
}

// Guards against a store host that takes a late heartbeat for that of a new target after its restart, because it has
// not applied its log yet.
func TestRestartedStoreKnowsDeparturesBeforeThereIsALeader(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	target := fleet.Target{ID: "t", Service: "s", Address: "127.0.0.9:1", State: fleet.Ready, Incarnation: 7, Sequence: 5}
	c, stop := startSingleStore(t, dir, port)
	awaitNil(t, "heartbeat", func() error { return c.HandleHeartbeat(t.Context(), target) })
	awaitNil(t, "departure", func() error { return c.DeregisterTarget(t.Context(), "t") })
	stop()
	c, stop = startSingleStore(t, dir, port)
	defer stop()
	target.Sequence = 9
	if err := c.HandleHeartbeat(t.Context(), target); err != nil {
		t.Fatal(err)
	}
	if list := c.st.view.Serving("s"); len(list) != 0 {
		t.Errorf("serving: %+v", list)
	}
	committed := c.st.departures.Covers(fleet.Departure{Target: "t", Incarnation: 7})
	applied := false // once the only replica has been elected
	c.st.stateMachine.View(func(s *storestate.State) { applied = s.Departures().Covers("t", 7) })
	if committed && !applied {
		t.Error("the departure counts as committed before there is a leader")
	}
}
