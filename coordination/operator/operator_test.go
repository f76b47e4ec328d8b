package operator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/operator"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/holder"
)

type discardRecorder struct{}

func (discardRecorder) Record(eelgrasspoint.Event) {}

// TestDrainIsAnsweredOnceItIsInForce guards against a drain that an operator takes for done while requests still go to
// the server.
func TestDrainIsAnsweredOnceItIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}})
		c := controller.New(controller.Options{
			Self: eelgrasspoint.Member{Name: "self"}, Holder: h, Recorder: discardRecorder{}, Clock: time.Now,
			SetBackend: func(*eelgrasspoint.BackendServer) {},
		})
		o := operator.New(operator.Options{Controller: c, Holder: h, Clock: time.Now})
		answered := make(chan error, 1)
		go func() {
			_, err := o.Drain(t.Context(), &schema.DrainRequest{})
			answered <- err
		}()
		synctest.Wait()
		assert.Equal(t, len(answered), 0, "answered before the control goroutine runs")
		go c.Run(t.Context())
		assert.NilError(t, <-answered)
		assert.Assert(t, h.Load().Draining)
	})
}
