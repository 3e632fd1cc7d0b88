# A site of daemons for tests, the demo and 'make run'; after tests/lib.sh.

# site_init: secrets, the operator's key and the first settings in $WORK, and
# an engine that no daemon knows, to ask what the right text is.
site_init() {
	head -c 32 /dev/urandom | base64 >"$WORK/key-secret"
	head -c 32 /dev/urandom | base64 >"$WORK/link-secret"
	site_new_key >"$WORK/operator-key"
	test -s "$WORK/settings.yaml" || site_settings >"$WORK/settings.yaml"
	start oracle fake-engine --decode 1000000 --prefill 10000000
}

site_new_key() {
	printf fh_
	head -c 32 /dev/urandom | base64 | tr +/ -_ | tr -d '=\n'
	echo
}

# site_settings: a small settings tree on standard output.
site_settings() {
	cat <<'EOF'
site:
  cluster: {voters: 3, repair_after_s: 30, learner_gone_after_s: 300}
team:
  calves:
    class:
      check: {tier: 0, deadline_ms: 30000, min_share: 0.1}
      lodgement: {tier: 0, deadline_ms: 20000, min_share: 0.1, idempotent: false}
      summary: {tier: 1, deadline_ms: 60000, min_share: 0.05}
    organisation:
      derwent-yards: {max_concurrent: 1000}
      upper-meadows: {max_concurrent: 1000}
    service:
      movements:
        routes:
          - {method: POST, prefix: /lodge, idempotency: required, class: lodgement}
          - {method: GET, prefix: /, idempotency: safe, class: check}
EOF
}

# start_daemon NAME ZONE [LINES...]: a daemon with a data folder that joins
# those already started; LINES are added to its boot settings.
start_daemon() {
	site_name=$1
	site_zone=$2
	shift 2
	rm -f "$WORK/$site_name.yaml"
	site_boot "$site_name" "$site_zone" "$@" >"$WORK/$site_name.boot"
	"$BIN/filberthalld" --settings "$WORK/$site_name.boot" \
		>>"$WORK/$site_name.log" 2>&1 &
	lib_note "$site_name" $!
	wait_for 20 test -s "$WORK/$site_name.yaml" || {
		echo "# $site_name didn't start:"
		sed 's/^/# /' "$WORK/$site_name.log" | tail -n 20
		return 1
	}
	SITE_LINKS="$SITE_LINKS $(address "$site_name" links)"
}
SITE_LINKS=

site_boot() {
	cat <<EOF
vm: $1
zone: $2
site: demo
data_folder: $WORK/$1.data
key_secret_file: $WORK/key-secret
link_secret_file: $WORK/link-secret
listen: {callers: 127.0.0.1:0, backends: 127.0.0.1:0,
         operators: 127.0.0.1:0, links: 127.0.0.1:0}
publish: $WORK/$1.yaml
trace_file: $WORK/$1.trace
EOF
	shift 2
	if test -z "$SITE_LINKS"
	then
		echo "bootstrap: true"
		echo "seed_settings: $WORK/settings.yaml"
		echo "seed_key_file: $WORK/operator-key"
	else
		echo "peers: [$(echo $SITE_LINKS | sed 's/ /, /g')]"
	fi
	for site_line
	do
		echo "$site_line"
	done
}

# operate DAEMON COMMAND...: runs filberthall against one daemon.
operate() {
	site_at=$(address "$1" operators)
	shift
	timeout "${OPERATE_S:-90}" "$BIN/filberthall" --server "$site_at" \
		--key-file "$WORK/operator-key" "$@"
}

# grant DAEMON ID ORGANISATION [OPTIONS...]: a caller's key into $WORK/ID.key.
grant() {
	site_daemon=$1
	site_id=$2
	site_organisation=$3
	shift 3
	operate "$site_daemon" --json key grant "$site_id" \
		--organisation "$site_organisation" "$@" >"$WORK/$site_id.json" &&
	json "d['key']" <"$WORK/$site_id.json" >"$WORK/$site_id.key"
}

# completion DAEMON KEY-FILE CONTENT [CURL OPTIONS...]: a streamed completion.
completion() {
	site_at=$(address "$1" callers)
	site_key=$(cat "$2")
	site_content=$3
	shift 3
	curl -sN --max-time 60 "$site_at/v1/chat/completions" \
		-H "Authorization: Bearer $site_key" \
		-H 'Content-Type: application/json' "$@" \
		-d "$(completion_body "$site_content")"
}

completion_body() {
	printf '{"model":"calf-7b","stream":true,"messages":[{"role":"user",'
	printf '"content":"%s"}]}' "$1"
}

# expected CONTENT: the text that any fake engine gives for that completion.
expected() {
	curl -sN "$(address "oracle")/v1/chat/completions" \
		-d "$(completion_body "$1")" | sse_text
}

# lodge DAEMON KEY-FILE IDEMPOTENCY-KEY BODY [CURL OPTIONS...]
lodge() {
	site_at=$(address "$1" callers)
	site_key=$(cat "$2")
	site_idempotency=$3
	site_body=$4
	shift 4
	curl -s --max-time 30 "$site_at/service/movements/lodge" \
		-H "Authorization: Bearer $site_key" \
		-H 'Content-Type: application/json' \
		-H "Idempotency-Key: $site_idempotency" "$@" -d "$site_body"
}

# routes DAEMON KEY-ID [NAME...]: whether it is healthy, knows the key, and has
# a usable backend server for each model or service NAME.
routes() {
	site_daemon=$1
	site_id=$2
	shift 2
	test $# -gt 0 || set -- calf-7b movements
	curl -sf "$(address "$site_daemon" callers)/healthz" &&
	curl -sf "$(address "$site_daemon" callers)/v1/models" \
		-H "Authorization: Bearer $(cat "$WORK/$site_id.key")" &&
	operate "$site_daemon" --json backend list >"$WORK/backends.json" ||
	return 1
	for site_serves
	do
		json "[b for b in d['backend_servers'] if b['usable'] and \
			b['serves'] == '$site_serves']" \
			<"$WORK/backends.json" | grep -q address || return 1
	done
}

# voters DAEMON N: whether the group has N voters.
voters() {
	test "$(operate "$1" --json member list | site_count_voters)" = "$2"
}

site_count_voters() {
	json "sum(1 for m in d['members'] if m.get('role') == 'voter' or \
		m.get('voter') is True)"
}

# backends DAEMON...: the --daemon flags that announce to these.
backends() {
	for site_daemon
	do
		echo "--daemon $(address "$site_daemon" backends)"
	done
}

# in_charge DAEMON...: the one of them that is in charge; fails if none is.
in_charge() {
	for site_daemon
	do
		if operate "$site_daemon" --json status |
			grep -q '"in_charge":true'
		then
			echo "$site_daemon"
			return
		fi
	done
	return 1
}
