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

// Decode decodes document into the struct that dst points to, which must have the
// type of the schema, and returns a report of the violations found. Neither the
// struct nor the report aliases document.
func (s *Schema) Decode(document []byte, dst any) *Report {
	r := &Report{}
	tree := r.parseLenient(slices.Clone(document))
	if tree == nil {
		if len(r.violations) > 0 {
			return r
		}
		tree = map[string]any{}
	}
	d := decoder{report: r}
	d.decodeTable(s.root, tree, reflect.ValueOf(dst).Elem())
	return r
}

// decoder fills structs from the maps and arrays of a parsed document. It keeps
// the path of the current field as a stack and formats it only for a violation.
type decoder struct {
	report *Report
	path   []pathElement
}

// pathElement is a key, or an array index if key is empty.
type pathElement struct {
	key   string
	index int
}

func (d *decoder) pushKey(key string) { d.path = append(d.path, pathElement{key: key}) }
func (d *decoder) pushIndex(i int)    { d.path = append(d.path, pathElement{index: i}) }
func (d *decoder) pop()               { d.path = d.path[:len(d.path)-1] }

func (d *decoder) fieldPath() string {
	path := ""
	for _, s := range d.path {
		if s.key == "" {
			path = appendIndex(path, s.index)
		} else {
			path = appendKey(path, s.key)
		}
	}
	return path
}

func (d *decoder) addViolation(value any, reason string) {
	d.report.Add(d.fieldPath(), formatValue(value), reason)
}

// formatValue returns a value as it stands in the document; it is empty for
// tables and arrays.
func formatValue(value any) string {
	switch v := value.(type) {
	case map[string]any, []any, nil:
		return ""
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return fmt.Sprint(value)
}

func (d *decoder) decodeTable(t *table, tree map[string]any, dst reflect.Value) {
	for key := range tree {
		if _, ok := t.byKey[key]; !ok {
			d.report.Add(appendKey(d.fieldPath(), key), "", "unknown field")
		}
	}
	for i := range t.fields {
		f := &t.fields[i]
		d.pushKey(f.key)
		raw, ok := tree[f.key]
		d.decodeField(f, raw, ok, dst.Field(f.index))
		d.pop()
	}
}

// decodeField sets one field from raw, which is meaningful only if present.
func (d *decoder) decodeField(f *field, raw any, present bool, dst reflect.Value) {
	switch {
	case f.typ.Kind() == reflect.Struct:
		d.decodeSubtable(f, raw, present, dst)
	case !present && f.required:
		d.report.AddMissing(d.fieldPath(), "", "is missing")
	case !present:
		d.setDefault(f, dst)
	case f.table != nil:
		d.decodeTables(f, raw, dst)
	case f.typ.Kind() == reflect.Slice:
		d.decodeList(raw, dst)
	default:
		if !d.decodeScalar(raw, dst) {
			return
		}
		if reason := f.check(dst); reason != "" {
			d.addViolation(raw, reason)
		}
	}
}

func (d *decoder) decodeSubtable(f *field, raw any, present bool, dst reflect.Value) {
	tree, ok := raw.(map[string]any)
	if present && !ok {
		d.addViolation(raw, "must be a table")
		return
	}
	d.decodeTable(f.table, tree, dst)
}

func (d *decoder) decodeTables(f *field, raw any, dst reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		d.addViolation(raw, "must be an array of tables")
		return
	}
	dst.Set(reflect.MakeSlice(f.typ, len(list), len(list)))
	for i, e := range list {
		d.pushIndex(i)
		if tree, ok := e.(map[string]any); ok {
			d.decodeTable(f.table, tree, dst.Index(i))
		} else {
			d.addViolation(e, "must be a table")
		}
		d.pop()
	}
}

func (d *decoder) decodeList(raw any, dst reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		d.addViolation(raw, "must be an array")
		return
	}
	if len(list) == 0 {
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(list), len(list)))
	for i, e := range list {
		d.pushIndex(i)
		d.decodeScalar(e, dst.Index(i))
		d.pop()
	}
}

// setDefault sets an absent field to the default in its tag.
func (d *decoder) setDefault(f *field, dst reflect.Value) {
	if f.defaultText == "" || f.defaultText == "[]" {
		return
	}
	var raw any = f.defaultText
	switch dst.Kind() {
	case reflect.Bool:
		raw = f.defaultText == "true"
	case reflect.Float64, reflect.Int, reflect.Uint64:
		raw = parseNumber(dst.Type(), f.defaultText)
	}
	if n, ok := raw.(float64); ok && dst.Kind() != reflect.Float64 {
		raw = int64(n)
	}
	d.decodeScalar(raw, dst)
}

// decodeScalar sets one value. It reports whether raw has the type of the field
// and records a violation if it does not.
func (d *decoder) decodeScalar(raw any, dst reflect.Value) bool {
	if dst.Addr().Type().Implements(textUnmarshalerType) {
		return d.decodeText(raw, dst)
	}
	if dst.Type() == durationType {
		return d.decodeDuration(raw, dst)
	}
	switch dst.Kind() {
	case reflect.String:
		if s, ok := raw.(string); ok {
			dst.SetString(s)
			return true
		}
		d.addViolation(raw, "must be a string")
	case reflect.Bool:
		if b, ok := raw.(bool); ok {
			dst.SetBool(b)
			return true
		}
		d.addViolation(raw, "must be true or false")
	default:
		return d.decodeNumber(raw, dst)
	}
	return false
}

func (d *decoder) decodeNumber(raw any, dst reflect.Value) bool {
	n, isInt := raw.(int64)
	x, isFloat := raw.(float64)
	switch dst.Kind() {
	case reflect.Float64:
		if isInt {
			x = float64(n)
		}
		if isInt || isFloat {
			dst.SetFloat(x)
			return true
		}
		d.addViolation(raw, "must be a number")
	case reflect.Int:
		if isInt && n >= math.MinInt && n <= math.MaxInt {
			dst.SetInt(n)
			return true
		}
		d.addViolation(raw, "must be a whole number")
	case reflect.Uint64:
		if isInt && n >= 0 {
			dst.SetUint(uint64(n))
			return true
		}
		d.addViolation(raw, "must be a whole number of zero or more")
	}
	return false
}

func (d *decoder) decodeDuration(raw any, dst reflect.Value) bool {
	text, ok := raw.(string)
	t, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.addViolation(raw, `must be a duration such as "250ms" or "30s"`)
		return false
	}
	dst.SetInt(int64(t))
	return true
}

// decodeText sets a value whose type implements encoding.TextUnmarshaler.
func (d *decoder) decodeText(raw any, dst reflect.Value) bool {
	text, ok := raw.(string)
	if !ok {
		d.addViolation(raw, "must be a string")
		return false
	}
	if err := dst.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.addViolation(raw, err.Error())
		return false
	}
	return true
}
