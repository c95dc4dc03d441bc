package daemon

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"egrettack.example/settings/document"
)

// LoadKey reads a key file: one object of the list "keys" of a settings file.
func LoadKey(path string) (Key, error) {
	text, err := document.ReadFile(path)
	if err != nil {
		return Key{}, trace.Wrap(err, "reading the key file")
	}
	doc, problems := document.Parse(path, text)
	if err := problems.Err(); err != nil {
		return Key{}, trace.Wrap(err)
	}
	var k Key
	return k, trace.Wrap(doc.Decode(&k).Err())
}

// ParseKey reads a key written as NUMBER:SECRET.
func ParseKey(text string) (k Key, err error) {
	id, secret, ok := strings.Cut(text, ":")
	number, err := strconv.ParseUint(id, 10, 8)
	if !ok || err != nil || number == 0 {
		return k, fmt.Errorf("a key is written NUMBER:SECRET, with a number from 1 to 255")
	}
	k.ID = uint8(number)
	return k, k.Secret.UnmarshalText([]byte(secret))
}
