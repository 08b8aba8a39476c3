package strict

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

const (
	nameLimit     = "name" // limits tag of a field that holds a name
	maxNameLength = 64     // bytes
	nameReason    = "must have 1 to 64 characters out of a-z, 0-9, dash, underscore and dot"
)

// checker returns why a decoded value violates the limits of its field, or "" if
// it does not.
type checker func(v reflect.Value) string

// compileLimits compiles the limits tag of a field: "name", or a range such as
// "1..10000", ">0..1" (lower bound excluded) or "1ms..60s". It panics with a
// *TagError if the tag is invalid.
func compileLimits(t reflect.Type, tag string) checker {
	switch {
	case tag == "":
		return func(reflect.Value) string { return "" }
	case tag == nameLimit:
		return func(v reflect.Value) string { return checkName(v.String()) }
	}
	low, high, ok := strings.Cut(tag, "..")
	if !ok {
		panic(&TagError{Type: t, Tag: tag})
	}
	low, exclusiveLow := strings.CutPrefix(low, ">")
	minValue, maxValue := parseNumber(t, low), parseNumber(t, high)
	reason := fmt.Sprintf("must be from %s to %s", low, high)
	if exclusiveLow {
		reason = fmt.Sprintf("must be above %s and at most %s", low, high)
	}
	return func(v reflect.Value) string {
		n := numericValue(v)
		// NaN compares false and so is rejected.
		if n >= minValue && n <= maxValue && (!exclusiveLow || n > minValue) {
			return ""
		}
		return reason
	}
}

// parseNumber parses a bound or a default; a duration in nanoseconds.
func parseNumber(t reflect.Type, text string) float64 {
	if t == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			panic(&TagError{Type: t, Tag: text})
		}
		return float64(d)
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(&TagError{Type: t, Tag: text})
	}
	return n
}

// numericValue returns a decoded value in the unit of parseNumber.
func numericValue(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Float64:
		return v.Float()
	case reflect.Uint64:
		return float64(v.Uint())
	}
	return float64(v.Int())
}

func checkName(name string) string {
	if name == "" || len(name) > maxNameLength {
		return nameReason
	}
	for i := range len(name) {
		c := name[i]
		if c != '-' && c != '_' && c != '.' && (c < '0' || c > '9') && (c < 'a' || c > 'z') {
			return nameReason
		}
	}
	return ""
}
