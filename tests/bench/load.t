#!/bin/sh
# The load tool against a fake engine alone: counts what it sent, sees each
# kind of bad answer, and refuses a profile with an unknown field.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"

cat >"$WORK/profile.yaml" <<'EOF'
organisations:
- {name: a, share: 3}
- {name: b}
classes:
- {name: chat, model: calf-7b, rate: 200, stream: true, output_tokens: 8}
- {name: whole, model: calf-7b, rate: 100, output_tokens: 8}
EOF

start engine fake-engine --slots 64 --decode 50000 --prefill 1000000
A=$(address engine)
load() {
	"$BIN/filberthall-load" "$WORK/profile.yaml" --target "$A" --quiet \
		--json "$@" >"$WORK/out.json"
}
total() {
	json "sum(c['$1'] for c in d['classes'])" <"$WORK/out.json"
}

check "open loop" load --requests 300
is "all were sent" "$(total sent)" 300
is "all were answered well" "$(total ok)" 300
is "each stream has its tokens" "$(json "d['classes'][0]['tokens'] == \
	8 * d['classes'][0]['sent']" <"$WORK/out.json")" true
check "closed loop" load --requests 300 --streams 16
is "all were answered well there too" "$(total ok)" 300

for bad in crossed:crossed break:torn close-after-read:lost
do
	fault "$A" "{\"kind\":\"${bad%:*}\",\"after\":3}"
	load --requests 50 && STATUS=0 || STATUS=$?
	is "${bad%:*}: the exit status tells" "$STATUS" 1
	is "${bad%:*}: it is counted" "$(total "${bad#*:}")" 1
	is "${bad%:*}: the others are well" "$(total ok)" 49
done
fault "$A" '{"kind":"error","status":503}'
check "a refusal is no bad answer" load --requests 50
is "it is counted" "$(total refused)" 1

echo 'colour: red' >>"$WORK/profile.yaml"
load --requests 1 2>"$WORK/error" && STATUS=0 || STATUS=$?
is "an unknown field ends it" "$STATUS" 2
check "its line is named" grep -q 'profile.yaml:7:.*colour' "$WORK/error"
finish
