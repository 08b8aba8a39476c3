package main

// owner runs calls one at a time in a goroutine of its own. The state that the calls use
// belongs to it.
type owner chan func()

func newOwner() owner {
	o := make(owner)
	go func() {
		for call := range o { // until the program ends
			call()
		}
	}()
	return o
}

// do runs a call and returns when it has ended. A call must not use its own owner.
func (o owner) do(call func()) {
	done := make(chan struct{})
	o <- func() {
		defer close(done)
		call()
	}
	<-done
}
