# A site of entry and control daemons on loopback addresses of their own;
# after tests/lib.sh. All links have one port, so it is chosen by the system
# for the first daemon.

ROLES_NET=127.$((1 + $$ % 250)).$(($$ / 250 % 250))

# roles_port: a port that is free on all these addresses now.
roles_port() {
	perl -MIO::Socket::INET -e '
		$s = IO::Socket::INET->new(Listen => 1,
			LocalAddr => "127.0.0.1") or die;
		print $s->sockport'
}
ROLES_LINKS=$(roles_port)
ROLES_OPERATORS=$(roles_port)

roles_operators() {
	echo "$ROLES_NET.$1:$ROLES_OPERATORS"
}

# start_control N [LINES...]: control VM N, seeds 1 to 3. With ROLES_BEHIND=M its
# links are at address N + M, and other VMs are told of N.
start_control() {
	roles_n=$1
	shift
	mkdir -p "$WORK/data-$roles_n"
	{
		cat <<END
role: control
vm: control-$roles_n
zone: z$((roles_n % 3))
site: test
data_folder: $WORK/data-$roles_n
publish: $WORK/control-$roles_n.yaml
bootstrap: ${ROLES_BOOTSTRAP-true}
listen:
  operators: $(roles_operators "$roles_n")
  links: $ROLES_NET.$((roles_n + ${ROLES_BEHIND:-0})):$ROLES_LINKS
${ROLES_BEHIND:+reach: {links: $ROLES_NET.$roles_n:$ROLES_LINKS\}}
seeds: [$(roles_operators 1), $(roles_operators 2), $(roles_operators 3)]
log: {file: "-"}
usage: {window_s: 1}
${ROLES_MEMORY_MB:+limits: {memory_mb: $ROLES_MEMORY_MB\}}
END
		for roles_line
		do
			echo "$roles_line"
		done
	} >"$WORK/control-$roles_n.boot"
	roles_run "control-$roles_n"
}

# start_entry N [LINES...]: entry VM N.
start_entry() {
	roles_n=$1
	shift
	{
		cat <<END
role: entry
vm: entry-$roles_n
zone: z$((roles_n % 3))
site: test
publish: $WORK/entry-$roles_n.yaml
listen:
  callers: $ROLES_NET.$((100 + roles_n)):0
  ready: $ROLES_NET.$((100 + roles_n)):0
  links: $ROLES_NET.$((100 + roles_n)):$ROLES_LINKS
seeds: [$(roles_operators 1), $(roles_operators 2), $(roles_operators 3)]
limits: {stop_grace_s: 8${ROLES_MEMORY_MB:+, memory_mb: $ROLES_MEMORY_MB}}
usage: {window_s: 1}
log: {file: "-"}
END
		for roles_line
		do
			echo "$roles_line"
		done
	} >"$WORK/entry-$roles_n.boot"
	roles_run "entry-$roles_n"
}

roles_run() {
	rm -f "$WORK/$1.yaml"
	"$BIN/filberthalld" --settings "$WORK/$1.boot" \
		>>"$WORK/$1.log" 2>&1 &
	lib_note "$1" $!
	wait_for 20 test -s "$WORK/$1.yaml" || {
		echo "# $1 didn't start:"
		sed 's/^/# /' "$WORK/$1.log" | tail -n 20
		return 1
	}
}

# document VERSION KEY: routes to a service "desk" and streams of "scribe".
document() {
	cat <<END
{"version": $1, "routes": [
 {"name": "once", "host": "a.example", "path_prefix": "/once/",
  "type": "non_idempotent", "timeout_ms": 4000, "latency_goal_ms": 300,
  "priority": 0, "service": "desk", "max_attempts": 1},
 {"name": "read", "host": "a.example", "path_prefix": "/read/",
  "type": "idempotent", "timeout_ms": 4000, "latency_goal_ms": 300,
  "priority": 1, "service": "desk", "max_attempts": 2},
 {"name": "resumed", "host": "a.example", "path_prefix": "/stream/r/",
  "type": "streaming", "timeout_ms": 8000, "latency_goal_ms": 500,
  "priority": 1, "service": "scribe", "max_attempts": 2,
  "resumable": true, "target_itl_ms": 500}],
 "services": [{"name": "desk"}, {"name": "scribe"}],
 "tenants": [{"name": "yards", "api_keys": ["$2"], "priority": 1}]}
END
}

# put_document N VERSION KEY: send it to control VM N; prints the status.
put_document() {
	document "$2" "$3" | curl -s -o /dev/null -w '%{http_code}' -L \
		--max-time 5 -X PUT --data-binary @- \
		"http://$(roles_operators "$1")/filberthall/config"
}

# read_document N: the version that control VM N reads out, by any way.
read_document() {
	curl -s -L --max-time 3 \
		"http://$(roles_operators "$1")/filberthall/config" |
		sed -n 's/^{"version": \([0-9]*\),.*/\1/p'
}

# is_ready N: whether entry VM N wants requests.
is_ready() {
	test "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 \
		"http://$(address "entry-$1" ready)/filberthall/readyz")" = 200
}

# ask N PATH KEY [CURL ARGS...]: body, then the status on a line of its own.
ask() {
	ask_to=http://$(address "entry-$1" callers)$2
	ask_key=$3
	shift 3
	curl -s --max-time 10 -H 'Host: a.example' \
		-H "Authorization: Bearer $ask_key" \
		-H 'Filberthall-Attempt-Id: x1' \
		-H 'Filberthall-Deadline-Ms: 4000' \
		-w '\n%{http_code}\n' "$@" "$ask_to"
}

# ask_status N PATH KEY [CURL ARGS...]
ask_status() {
	ask "$@" | tail -n 1
}

# roles_stream N ID PATH [CURL ARGS...]: a stream of entry VM N, as it comes.
roles_stream() {
	stream_to=http://$(address "entry-$1" callers)/stream/r/$3
	stream_id=$2
	shift 3
	curl -sN --max-time 10 -H 'Host: a.example' \
		-H 'Authorization: Bearer k1' \
		-H "Filberthall-Attempt-Id: $stream_id" \
		-H 'Filberthall-Deadline-Ms: 6000' \
		-X POST -d body "$@" "$stream_to"
}

# roles_site: five control VMs and entry VM 1 with document 1 and key k1;
# $controls are the options with which fake-native announces itself to them.
roles_site() {
	controls=
	for roles_control in 5 4 3 2 1
	do
		start_control $roles_control
		controls="$controls --control $(roles_operators $roles_control)"
	done
	start_entry 1
	check "a document is accepted" wait_for 20 roles_accepts 1 1 k1
}

# roles_accepts N VERSION KEY: whether control VM N takes the document.
roles_accepts() {
	test "$(put_document "$1" "$2" "$3")" = 200
}

# roles_known SERVER: whether entry VM 1 has heard that it is ready.
roles_known() {
	grep -q "event=ready server=$1 " "$WORK/entry-1.log"
}
