package strict

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"time"
)

// Decode reads text into the struct that into points to, which must be of the
// schema's type, and returns the mistakes found. Nothing in it aliases text.
func (s *Schema) Decode(text []byte, into any) *Report {
	r := &Report{}
	tree := r.read(slices.Clone(text))
	if tree == nil {
		if len(r.mistakes) > 0 {
			return r
		}
		tree = map[string]any{}
	}
	d := decoder{report: r}
	d.table(s.root, tree, reflect.ValueOf(into).Elem())
	return r
}

// decoder fills structs from maps. The path of the current field is kept in
// parts and put together only for a mistake.
type decoder struct {
	report *Report
	path   []step
}

type step struct {
	key   string
	index int // of an array element when key is empty
}

func (d *decoder) enter(key string) { d.path = append(d.path, step{key: key}) }
func (d *decoder) element(i int)    { d.path = append(d.path, step{index: i}) }
func (d *decoder) leave()           { d.path = d.path[:len(d.path)-1] }

func (d *decoder) at() string {
	path := ""
	for _, s := range d.path {
		if s.key == "" {
			path = index(path, s.index)
		} else {
			path = join(path, s.key)
		}
	}
	return path
}

func (d *decoder) add(value any, reason string) {
	d.report.Add(d.at(), show(value), reason)
}

// show returns a value as an operator wrote it; tables and arrays are not shown.
func show(value any) string {
	switch v := value.(type) {
	case map[string]any, []any, nil:
		return ""
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return fmt.Sprint(value)
}

func (d *decoder) table(t *table, tree map[string]any, into reflect.Value) {
	for key := range tree {
		if _, ok := t.byKey[key]; !ok {
			d.report.Add(join(d.at(), key), "", "unknown field")
		}
	}
	for i := range t.fields {
		f := &t.fields[i]
		d.enter(f.key)
		raw, ok := tree[f.key]
		d.field(f, raw, ok, into.Field(f.index))
		d.leave()
	}
}

func (d *decoder) field(f *field, raw any, present bool, into reflect.Value) {
	switch {
	case f.kind.Kind() == reflect.Struct:
		d.subtable(f, raw, present, into)
	case !present && f.required:
		d.report.AddMissing(d.at(), "", "is missing")
	case !present:
		d.setDefault(f, into)
	case f.table != nil:
		d.tables(f, raw, into)
	case f.kind.Kind() == reflect.Slice:
		d.list(raw, into)
	default:
		if !d.scalar(raw, into) {
			return
		}
		if reason := f.check(into); reason != "" {
			d.add(raw, reason)
		}
	}
}

func (d *decoder) subtable(f *field, raw any, present bool, into reflect.Value) {
	tree, ok := raw.(map[string]any)
	if present && !ok {
		d.add(raw, "must be a table")
		return
	}
	d.table(f.table, tree, into)
}

func (d *decoder) tables(f *field, raw any, into reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		d.add(raw, "must be an array of tables")
		return
	}
	into.Set(reflect.MakeSlice(f.kind, len(list), len(list)))
	for i, e := range list {
		d.element(i)
		if tree, ok := e.(map[string]any); ok {
			d.table(f.table, tree, into.Index(i))
		} else {
			d.add(e, "must be a table")
		}
		d.leave()
	}
}

func (d *decoder) list(raw any, into reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		d.add(raw, "must be an array")
		return
	}
	if len(list) == 0 {
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
	for i, e := range list {
		d.element(i)
		d.scalar(e, into.Index(i))
		d.leave()
	}
}

// setDefault gives an absent field the default of its tag.
func (d *decoder) setDefault(f *field, into reflect.Value) {
	if f.fallback == "" || f.fallback == "[]" {
		return
	}
	var raw any = f.fallback
	switch into.Kind() {
	case reflect.Bool:
		raw = f.fallback == "true"
	case reflect.Float64, reflect.Int, reflect.Uint64:
		raw = number(into.Type(), f.fallback)
	}
	if n, ok := raw.(float64); ok && into.Kind() != reflect.Float64 {
		raw = int64(n)
	}
	d.scalar(raw, into)
}

// scalar sets one value and reports whether the text has the right type for it.
func (d *decoder) scalar(raw any, into reflect.Value) bool {
	if into.Addr().Type().Implements(textType) {
		return d.custom(raw, into)
	}
	if into.Type() == durationType {
		return d.duration(raw, into)
	}
	switch into.Kind() {
	case reflect.String:
		if s, ok := raw.(string); ok {
			into.SetString(s)
			return true
		}
		d.add(raw, "must be a string")
	case reflect.Bool:
		if b, ok := raw.(bool); ok {
			into.SetBool(b)
			return true
		}
		d.add(raw, "must be true or false")
	default:
		return d.number(raw, into)
	}
	return false
}

func (d *decoder) number(raw any, into reflect.Value) bool {
	n, isInt := raw.(int64)
	x, isFloat := raw.(float64)
	switch into.Kind() {
	case reflect.Float64:
		if isInt {
			x = float64(n)
		}
		if isInt || isFloat {
			into.SetFloat(x)
			return true
		}
		d.add(raw, "must be a number")
	case reflect.Int:
		if isInt && n >= math.MinInt && n <= math.MaxInt {
			into.SetInt(n)
			return true
		}
		d.add(raw, "must be a whole number")
	case reflect.Uint64:
		if isInt && n >= 0 {
			into.SetUint(uint64(n))
			return true
		}
		d.add(raw, "must be a whole number of zero or more")
	}
	return false
}

func (d *decoder) duration(raw any, into reflect.Value) bool {
	text, ok := raw.(string)
	t, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.add(raw, `must be a duration such as "250ms" or "30s"`)
		return false
	}
	into.SetInt(int64(t))
	return true
}

// custom sets a value whose type reads its own text.
func (d *decoder) custom(raw any, into reflect.Value) bool {
	text, ok := raw.(string)
	if !ok {
		d.add(raw, "must be a string")
		return false
	}
	if err := into.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.add(raw, err.Error())
		return false
	}
	return true
}
