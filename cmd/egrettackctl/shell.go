package main

import (
	"fmt"
)

// bashCompletion completes by asking the program itself, so that it follows the
// definitions of the commands. zsh reads it after bashcompinit.
const bashCompletion = `_egrettackctl() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _egrettackctl egrettackctl
`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

// completion prints a script for the completion of command lines.
type completion struct {
	stub
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

func (c *completion) run(a *app) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion}
	script, ok := scripts[c.Args.Shell]
	if !ok {
		return fmt.Errorf("%w: no completion for the shell %q, want bash or zsh", errUsage, c.Args.Shell)
	}
	_, err := fmt.Fprint(a.out, script)
	return err
}

// man prints the manual page.
type man struct{ stub }

func (*man) run(a *app) error {
	a.parser.WriteManPage(a.out)
	return nil
}
