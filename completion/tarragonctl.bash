# Bash completion for tarragonctl.
_tarragonctl ()
{
  local current=${COMP_WORDS[COMP_CWORD]} options
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W 'check fetch apply status explain audit report --help --version' -- "$current")
    return
  fi
  case ${COMP_WORDS[1]} in
  check) options='--json' ;;
  fetch) options='--platform --output' ;;
  apply) options='--platform --author --base --wait --json' ;;
  audit) options='--platform --json' ;;
  explain) options='--daemon --json' ;;
  status) options='--daemon --json --watch' ;;
  report) options='--daemon --output' ;;
  esac
  if [ "${current#-}" != "$current" ]; then
    mapfile -t COMPREPLY < <(compgen -W "$options --help" -- "$current")
  else
    mapfile -t COMPREPLY < <(compgen -f -- "$current")
  fi
}
complete -F _tarragonctl tarragonctl
