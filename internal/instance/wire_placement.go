package instance

// wirePlacement makes the parts that decide which models live where and order
// targets.
func (i *Instance) wirePlacement() {}
