package e2e

import (
	"testing"
	"time"

	"fuchsiaflow/internal/demo"
)

// TestSilentConnections guards P3, P4 and P6 against open connections between hosts that
// stop responding for ever while new ones work. It fails when a host waits on a silent
// connection, or repeats an unsafe request that was on one.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{network: true, targets: 1, tokenTime: 5 * time.Millisecond})
	tr := c.trainer(demo.TrainerToken, c.urls(""))
	desk := c.startLoad("silent", c.urls(""))
	step := c.runStep(tr, "step-1", groups("silent", 30, 64))
	c.awaitDelivered(tr, midStep)
	c.net.silence()
	c.mustApply("yeka-2", config(2))
	c.awaitStep(step)
	c.awaitConfig(config(2), c.order...)
	c.awaitStep(c.runStep(tr, "step-2", groups("after", 4, 64)))
	c.finish(desk)
	c.checkTrainer(tr)
}
