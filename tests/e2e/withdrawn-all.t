#!/bin/sh
# Keys go on working once a document has taken the last one away.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
start_entry 2
start desk fake-native --id desk --service desk $controls
check "a server is known" wait_for 20 roles_known desk
for n in 1 2
do
	check "entry VM $n gets ready" wait_for 20 is_ready $n
	is "its key is good" "$(ask_status $n /once/1 k1 -d x)" 200
done

# put VERSION TENANTS: the status of the document with that item, or none.
put() {
	document "$1" k1 | python3 -c '
import json, sys
document = json.load(sys.stdin)
del document["tenants"]
if sys.argv[1] != "none":
    document["tenants"] = json.loads(sys.argv[1])
print("{\"version\": " + str(document.pop("version")) + ", " +
      json.dumps(document)[1:])' "$2" | curl -s -o /dev/null \
		-w '%{http_code}' -L --max-time 5 -X PUT --data-binary @- \
		"http://$(roles_operators 1)/filberthall/config"
}
puts() {
	test "$(put "$1" "$2")" = 200
}
reads() {
	test "$(read_document 3)" = "$1"
}
# Of a key that was good, one that never was, an empty one and none.
answers() {
	ask_status "$1" /once/1 k1 -d x
	ask_status "$1" /once/1 k9 -d x
	ask_status "$1" /once/1 "" -d x
	ask_status "$1" /once/1 k1 -H 'Authorization:' -d x
}
none_runs() {
	! answers "$1" | grep -q 200
}
all_refused() {
	test "$(answers "$1" | sort | uniq -c | tr -d ' \n')" = 4401
}
signal entry-2 STOP
check "an empty list of organisations is accepted" wait_for 20 puts 2 '[]'
check "a VM that runs on refuses all keys" wait_for 5 all_refused 1
start_entry 3
check "so does one that starts between them" wait_for 20 all_refused 3
sleep 3
signal entry-2 CONT
for i in 1 2 3 4 5
do
	check "one that stood still meanwhile runs none" none_runs 2
done
check "and refuses all when it is back" wait_for 20 all_refused 2

for n in 1 2 3 4 5
do
	signal control-$n KILL
	reap control-$n || :
done
for n in 5 4 3 2 1
do
	ROLES_BOOTSTRAP=false start_control $n
done
start_entry 4
check "the document is read out after a restart of all control VMs" \
	wait_for 20 reads 2
for n in 1 4
do
	check "all are refused at VM $n after it" wait_for 20 all_refused $n
done
check "an organisation without keys" wait_for 20 puts 3 '[{"name": "yards"}]'
check "needs one" wait_for 5 all_refused 1
for odd in null '{}' '"k1"' '[{"name": "yards", "api_keys": [1]}]'
do
	is "tenants of $odd" "$(put 4 "$odd")" 400
	check "leave the ones before in force" all_refused 1
done
open() {
	test "$(ask_status 1 /once/1 k1 -H 'Authorization:' -d x)" = 200
}
check "a document without organisations is accepted" wait_for 20 puts 5 none
check "and asks for no key" wait_for 20 open
finish
