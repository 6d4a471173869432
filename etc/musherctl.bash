# Completion of musherctl for bash.
_musherctl() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD-1]}
	local commands="apply validate diff show status hosts programs explain
	    audit drain undrain"
	local common="--operator --key --key-file --json --help"
	local command="" options="" w

	for w in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
		case " ${commands//[$'\n\t']/ } " in
		*" $w "*) command=$w ;;
		esac
	done
	case $prev in
	--key-file|-o|--output)
		COMPREPLY=($(compgen -f -- "$cur"))
		return ;;
	--operator|-O|--key|--base|--note|--timeout|--token|--version|--after|--limit)
		COMPREPLY=()
		return ;;
	esac
	case $command in
	"") options=$commands ;;
	apply) options="--base --note --wait --timeout --rebase --token" ;;
	diff) options="--version" ;;
	show) options="--version --output" ;;
	programs) options="--limit" ;;
	audit) options="--after --limit" ;;
	drain|undrain) options="--note" ;;
	esac
	COMPREPLY=($(compgen -W "$options $common" -- "$cur"))
	case $command in
	apply|validate|diff)
		COMPREPLY+=($(compgen -f -- "$cur")) ;;
	esac
}
complete -F _musherctl musherctl
