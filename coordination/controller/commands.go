package controller

// Barrier closes Done once all commands submitted before it are applied and published.
type Barrier struct{ Done chan<- struct{} }

func (b Barrier) apply(c *Controller) {
	c.publish()
	close(b.Done)
}

// Leave marks the node as left and draining. Done is closed once the view with the updated entry is
// published, so that the entry can be gossiped.
type Leave struct{ Done chan<- struct{} }

func (leave Leave) apply(c *Controller) {
	c.draining = true
	c.self.Left = true
	c.raiseVersion()
	c.publish()
	close(leave.Done)
}
