package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// table is output for people.
type table struct {
	head string // names of the columns, separated by spaces
	rows [][]any
}

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

func (t *table) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(strings.Fields(t.head), "\t"))
	for _, row := range t.rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			if text := fmt.Sprint(cell); text != "" {
				fmt.Fprint(tw, text)
			} else {
				fmt.Fprint(tw, "-")
			}
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
}

// oneLine returns an error in one line; trace puts each step on its own.
func oneLine(err error) string {
	return strings.ReplaceAll(trace.UserMessage(err), "\n\t", ": ")
}

// print writes v as JSON or the table, as the options say.
func (a *app) print(v any, t *table) error {
	if !a.JSON {
		t.print(a.out)
		return nil
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
