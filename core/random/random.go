// Package random defines the random number generator that the core uses. The
// program that runs the core provides the generator and its seed.
package random

// Source is a generator of random numbers, such as *rand.Rand of math/rand.
type Source interface {
	Float64() float64 // in [0, 1)
	Intn(n int) int
	Int63n(n int64) int64
	Shuffle(n int, swap func(i, j int))
}
