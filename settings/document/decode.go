package document

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Struct tags that Decode obeys, besides json for the name:
//
//	required:"true"     the value must be given
//	default:"60s"       taken when the value is not given
//	min:"0" max:"1"     limits of a number or duration
//	oneof:"tcp udp"     the words allowed
//	unit:"bytes"        named in errors

// Decode fills the struct that into points to. It reports all errors and not
// only the first. It is called once: the syntax is released, and only the
// lines of the values are kept.
func (d *Document) Decode(into any) Problems {
	dec := &decoder{doc: d}
	dec.value(d.root, "", reflect.ValueOf(into).Elem(), "")
	d.root, d.text = hujson.Value{}, nil
	return dec.problems
}

type decoder struct {
	doc      *Document
	problems Problems
	// line and offset of the last value seen; values come in ascending order,
	// so that each line break is counted once.
	line, offset int
}

func (d *decoder) fail(path, format string, args ...any) {
	d.problems = append(d.problems, d.doc.Problem(path, format, args...))
}

func (d *decoder) mark(path string, v hujson.Value) {
	if d.line == 0 || v.StartOffset < d.offset {
		d.line, d.offset = 1, 0
	}
	for _, c := range d.doc.text[d.offset:v.StartOffset] {
		if c == '\n' {
			d.line++
		}
	}
	d.offset = v.StartOffset
	d.doc.lines[path] = d.line
}

func (d *decoder) value(v hujson.Value, path string, into reflect.Value, tag reflect.StructTag) {
	d.mark(path, v)
	if into.Kind() == reflect.Pointer {
		before := len(d.problems)
		target := reflect.New(into.Type().Elem())
		d.value(v, path, target.Elem(), tag)
		if len(d.problems) == before {
			into.Set(target)
		}
		return
	}
	if _, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(v, path, into, tag)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.object(v, path, into)
	case reflect.Map:
		d.dictionary(v, path, into)
	case reflect.Slice:
		d.list(v, path, into, tag)
	default:
		d.scalar(v, path, into, tag)
	}
}

func (d *decoder) object(v hujson.Value, path string, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "expected an object, found %s", describe(v))
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		if seen[name] {
			d.mark(at, m.Name)
			d.fail(at, "given twice")
			continue
		}
		seen[name] = true
		i := slices.IndexFunc(fields, func(f Field) bool { return f.Name == name })
		if i < 0 {
			d.mark(at, m.Name)
			d.fail(at, "unknown field; known are %s", names(fields))
			continue
		}
		d.value(m.Value, at, into.FieldByIndex(fields[i].Index), fields[i].Tag)
	}
	for _, f := range fields {
		if seen[f.Name] {
			continue
		}
		if f.Tag.Get("required") == "true" {
			d.fail(join(path, f.Name), "missing value")
		} else if text, ok := f.Tag.Lookup("default"); ok && into.FieldByIndex(f.Index).Kind() != reflect.Pointer {
			SetDefault(into.FieldByIndex(f.Index), text)
		}
	}
}

func (d *decoder) dictionary(v hujson.Value, path string, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "expected an object, found %s", describe(v))
		return
	}
	out := reflect.MakeMapWithSize(into.Type(), len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		key := reflect.ValueOf(name).Convert(into.Type().Key())
		if out.MapIndex(key).IsValid() {
			d.mark(at, m.Name)
			d.fail(at, "given twice")
			continue
		}
		element := reflect.New(into.Type().Elem()).Elem()
		d.value(m.Value, at, element, "")
		out.SetMapIndex(key, element)
	}
	into.Set(out)
}

func (d *decoder) list(v hujson.Value, path string, into reflect.Value, tag reflect.StructTag) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(path, "expected a list, found %s", describe(v))
		return
	}
	out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.value(e, fmt.Sprintf("%s[%d]", path, i), out.Index(i), tag)
	}
	into.Set(out)
}

func (d *decoder) text(v hujson.Value, path string, into reflect.Value, tag reflect.StructTag) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		if into.Type() == reflect.TypeFor[Duration]() {
			d.fail(path, `wrong unit: a duration is text with its unit, as in "2s", found %s`, describe(v))
			return
		}
		d.fail(path, "expected text, found %s", describe(v))
		return
	}
	u := into.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		d.fail(path, "%s", explain(into.Type(), lit.String(), err))
		return
	}
	d.limits(path, into, tag)
}

func (d *decoder) scalar(v hujson.Value, path string, into reflect.Value, tag reflect.StructTag) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.fail(path, "expected %s, found %s", wanted(into, tag), describe(v))
		return
	}
	if lit.Kind() == '"' && into.Kind() != reflect.String && into.Kind() != reflect.Bool {
		d.fail(path, "wrong unit: expected %s, found %s", wanted(into, tag), describe(v))
		return
	}
	var err error
	switch kind := lit.Kind(); {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(lit.String())
	case into.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		into.SetBool(lit.Bool())
	case kind == '0':
		err = setNumber(into, string(lit))
	default:
		d.fail(path, "expected %s, found %s", wanted(into, tag), describe(v))
		return
	}
	if err != nil {
		d.fail(path, "expected %s, found %s", wanted(into, tag), describe(v))
		return
	}
	d.limits(path, into, tag)
}

func setNumber(into reflect.Value, text string) error {
	switch {
	case into.CanInt():
		n, err := strconv.ParseInt(text, 10, into.Type().Bits())
		if err == nil {
			into.SetInt(n)
		}
		return err
	case into.CanUint():
		n, err := strconv.ParseUint(text, 10, into.Type().Bits())
		if err == nil {
			into.SetUint(n)
		}
		return err
	case into.CanFloat():
		f, err := strconv.ParseFloat(text, 64)
		if err == nil {
			into.SetFloat(f)
		}
		return err
	}
	return fmt.Errorf("%s takes no number", into.Type())
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func names(fields []Field) string {
	var s []string
	for _, f := range fields {
		s = append(s, f.Name)
	}
	return strings.Join(s, ", ")
}
