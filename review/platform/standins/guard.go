package main

// guard lets one goroutine at a time use a state.
type guard chan struct{}

func newGuard() guard { return make(guard, 1) }

func (g guard) lock()   { g <- struct{}{} }
func (g guard) unlock() { <-g }
