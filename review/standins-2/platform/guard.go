package main

// guard lets one goroutine at a time use a state. The project's sources use no mutex.
type guard chan struct{}

func newGuard() guard { return make(guard, 1) }

// Lock waits until no other goroutine holds the guard.
func (g guard) Lock() { g <- struct{}{} }

// Unlock releases the guard.
func (g guard) Unlock() { <-g }
