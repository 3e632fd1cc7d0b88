#!/bin/sh
# Long names of a valid document, cut or refused, take services out of use.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

runs() {
	! ended "$1"
}
names() {
	python3 "$SOURCE_ROOT/tests/e2e/names.py" "$@"
}
start platform fake-native --record "$WORK/record"
controls=
for n in 5 4 3 2 1
do
	start_control $n "platform: $(address platform)"
	controls="$controls --control $(roles_operators $n)"
done
start_entry 1
names document >"$WORK/document"
accepted() {
	test "$(curl -s -o /dev/null -w '%{http_code}' -L --max-time 5 -X PUT \
		--data-binary "@$WORK/document" \
		"http://$(roles_operators 1)/filberthall/config")" = 200
}
check "the document is accepted" wait_for 20 accepted
zone=$(names list zones | tail -n 1)
names list services >"$WORK/services"
n=0
while read -r service
do
	start s$n fake-native --id s$n --service "$service" --zone "$zone" \
		$controls
	check "its server is known" wait_for 20 roles_known s$n
	n=$((n + 1))
done <"$WORK/services"
check "the entry VM gets ready" wait_for 20 is_ready 1

names list holders >"$WORK/holders"
n=0
while read -r holder
do
	ask 1 /$n/x k$n -i -X POST -d x | tr -d '\r' >"$WORK/answer" || :
	check "a request runs at the service that is meant" \
		grep -q "^s$n /$n/x\$" "$WORK/answer"
	check "for the organisation that holds the key" \
		grep -qFx "X-Organisation: $holder" "$WORK/answer"
	n=$((n + 1))
done <"$WORK/holders"

{
	while read -r service
	do
		names list zones | sed "s/^/$service /"
	done <"$WORK/services"
	cat "$WORK/holders"
} | LC_ALL=C sort >"$WORK/wanted"
all_reported() {
	names reported "$WORK/record" | LC_ALL=C sort | cmp - "$WORK/wanted"
}
check "reports and orders bear the whole names" wait_for 30 all_reported
for n in 1 2 3 4 5
do
	check "control VM $n runs on" runs control-$n
done
finish
