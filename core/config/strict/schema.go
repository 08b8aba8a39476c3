package strict

import (
	"encoding"
	"fmt"
	"reflect"
	"time"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// TagError reports an invalid struct tag, which is a programming error.
type TagError struct {
	Type reflect.Type
	Tag  string
}

// Error implements error.
func (e *TagError) Error() string { return fmt.Sprintf("schema: %v: tag %q", e.Type, e.Tag) }

// Schema describes documents by the tags of a struct:
//
//	toml     the key, as in "max_vms"; "-" excludes the field
//	default  the value of an absent key; a field without the tag is required,
//	         except that a table may be absent if none of its fields is required
//	limits   "name" or a range such as "1..10" or ">0..1"
type Schema struct {
	root *table
}

// table is the compiled schema of one struct.
type table struct {
	fields []field
	byKey  map[string]int // indexes into fields
}

type field struct {
	key         string
	index       int // of the struct field
	typ         reflect.Type
	required    bool
	defaultText string // default tag
	limits      string // limits tag
	check       checker
	table       *table // schema of a table or of the elements of an array of tables; nil otherwise
}

// Compile returns the schema of the struct type T. It panics with a *TagError if a
// limits tag is invalid, so it should be called at package initialization.
func Compile[T any]() *Schema {
	return &Schema{root: compileTable(reflect.TypeFor[T]())}
}

func compileTable(t reflect.Type) *table {
	tab := &table{byKey: make(map[string]int)}
	for i := range t.NumField() {
		sf := t.Field(i)
		key := sf.Tag.Get("toml")
		if key == "" || key == "-" {
			continue
		}
		f := field{key: key, index: i, typ: sf.Type, limits: sf.Tag.Get("limits")}
		defaultText, ok := sf.Tag.Lookup("default")
		f.defaultText, f.required = defaultText, !ok
		switch {
		case sf.Type.Kind() == reflect.Struct:
			f.table, f.required = compileTable(sf.Type), false
		case sf.Type.Kind() == reflect.Slice && sf.Type.Elem().Kind() == reflect.Struct:
			f.table = compileTable(sf.Type.Elem())
		}
		f.check = compileLimits(sf.Type, f.limits)
		tab.byKey[key] = len(tab.fields)
		tab.fields = append(tab.fields, f)
	}
	return tab
}

// Field describes one field of a schema for documentation.
type Field struct {
	Path     string // without array indexes, as in service.group.name
	Type     string // integer, number, duration, string, boolean, table, tables or list
	Required bool
	Default  string
	Limits   string
}

// Fields returns all fields of the schema, in the order of the structs.
func (s *Schema) Fields() []Field { return s.root.appendFields("", nil) }

func (t *table) appendFields(path string, out []Field) []Field {
	for _, f := range t.fields {
		fieldPath := appendKey(path, f.key)
		out = append(out, Field{Path: fieldPath, Type: f.typeName(), Required: f.required, Default: f.defaultText, Limits: f.limits})
		if f.table != nil {
			out = f.table.appendFields(fieldPath, out)
		}
	}
	return out
}

func (f *field) typeName() string {
	switch {
	case f.typ == durationType:
		return "duration"
	case f.typ.Kind() == reflect.Struct:
		return "table"
	case f.table != nil:
		return "tables"
	case f.typ.Kind() == reflect.Slice:
		return "list"
	case f.typ.Kind() == reflect.Float64:
		return "number"
	case f.typ.Kind() == reflect.Bool:
		return "boolean"
	case f.typ.Kind() == reflect.String:
		return "string"
	}
	return "integer"
}
