package main

import (
	"context"
	"fmt"
	"strings"
)

// completion prints a script that completes verbs and their objects.
func (s *session) completion(context.Context) int {
	switch s.options.object {
	case "fish":
		for _, v := range verbs {
			fmt.Fprintf(s.out, "complete -c eelgrassctl -n __fish_use_subcommand -a %s -d '%s'\n", v.name, v.description)
		}
	case "zsh":
		fmt.Fprintf(s.out, "#compdef eelgrassctl\n_arguments '1:verb:(%s)' '*:file:_files'\n", strings.Join(verbNames(), " "))
	default:
		fmt.Fprint(s.out, bashScript())
	}
	return exitDone
}

func bashScript() string {
	var cases strings.Builder
	for _, v := range verbs {
		if len(v.objects) > 0 {
			fmt.Fprintf(&cases, "    %s) words=\"%s\" ;;\n", v.name, strings.Join(v.objects, " "))
		}
	}
	return fmt.Sprintf(`_eelgrassctl() {
  local words="%s --node --output --file --wait --force --dry-run --change-id"
  case "${COMP_WORDS[COMP_CWORD-1]}" in
%s    --file) COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}")); return ;;
    --output) words="text json" ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _eelgrassctl eelgrassctl
`, strings.Join(verbNames(), " "), cases.String())
}
