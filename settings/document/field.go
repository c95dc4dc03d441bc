package document

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tailscale/hujson"
)

// Duration is a time.Duration that is written as text with a unit.
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`wrong unit: %q is not a duration, as in "2s" or "150ms"`, text)
	}
	d.Duration = v
	return nil
}

// Field is one field of a settings struct.
type Field struct {
	Name  string
	Type  reflect.Type
	Tag   reflect.StructTag
	Index []int // for reflect.Value.FieldByIndex
}

var fieldCache sync.Map // reflect.Type to []Field

// Fields returns the fields of a settings struct, embedded ones included.
func Fields(t reflect.Type) []Field { return fieldsOf(t) }

func fieldsOf(t reflect.Type) []Field {
	if f, ok := fieldCache.Load(t); ok {
		return f.([]Field)
	}
	var fields []Field
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, Field{Name: name, Type: f.Type, Tag: f.Tag, Index: f.Index})
	}
	fieldCache.Store(t, fields)
	return fields
}

// SetDefault gives a field the value of its default tag. The tags are part of
// the program, so that a wrong one is a programming error.
func SetDefault(into reflect.Value, text string) {
	var err error
	switch u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); {
	case ok:
		err = u.UnmarshalText([]byte(text))
	case into.Kind() == reflect.String:
		into.SetString(text)
	case into.Kind() == reflect.Bool:
		into.SetBool(text == "true")
	default:
		err = setNumber(into, text)
	}
	if err != nil {
		panic(fmt.Sprintf("default %q of %s: %v", text, into.Type(), err))
	}
}

func (d *decoder) limits(path string, v reflect.Value, tag reflect.StructTag) {
	if words, ok := tag.Lookup("oneof"); ok && v.Kind() == reflect.String {
		for w := range strings.FieldsSeq(words) {
			if v.String() == w {
				return
			}
		}
		d.fail(path, "%q is not one of %s", v.String(), strings.Join(strings.Fields(words), ", "))
		return
	}
	low, hasLow := tag.Lookup("min")
	high, hasHigh := tag.Lookup("max")
	if hasLow && magnitude(v) < limit(low) {
		d.fail(path, "%s is below the least value %s", show(v), low)
	}
	if hasHigh && magnitude(v) > limit(high) {
		d.fail(path, "%s is above the largest value %s", show(v), high)
	}
	if v.Kind() == reflect.String && tag.Get("required") == "true" && v.String() == "" {
		d.fail(path, "missing value: the text is empty")
	}
}

func magnitude(v reflect.Value) float64 {
	switch {
	case v.Type() == reflect.TypeFor[Duration]():
		return float64(v.Interface().(Duration).Duration)
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	case v.CanFloat():
		return v.Float()
	}
	return 0
}

func limit(text string) float64 {
	if f, err := strconv.ParseFloat(text, 64); err == nil {
		return f
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(fmt.Sprintf("limit %q: %v", text, err))
	}
	return float64(d)
}

func show(v reflect.Value) string { return fmt.Sprint(v.Interface()) }

func explain(t reflect.Type, text string, err error) string {
	if t == reflect.TypeFor[netip.AddrPort]() {
		return fmt.Sprintf(`bad address: %q is not an IP address with a port, as in "10.0.0.1:6001"`, text)
	}
	return err.Error()
}

// wanted describes what a field takes.
func wanted(v reflect.Value, tag reflect.StructTag) string {
	var s string
	switch {
	case v.Kind() == reflect.String:
		return "text"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.CanUint():
		s = "an integer from 0"
	case v.CanInt():
		s = "an integer"
	default:
		s = "a number"
	}
	if unit := tag.Get("unit"); unit != "" {
		s += " (" + unit + ")"
	}
	return s
}

func describe(v hujson.Value) string {
	switch x := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		const longest = 40 // bytes shown of a wrong value
		if len(x) > longest {
			return string(x[:longest]) + "..."
		}
		return string(x)
	}
	return "nothing"
}
