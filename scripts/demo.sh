#!/bin/sh
# Runs the whole path on one machine: stand-ins and six instances in two
# failure domains, each a process on loopback. On the way one backend server is
# drained and one instance is stopped. The last line of standard output is the
# summary; the exit code is not 0 when a request was broken, doubled, misrouted
# or lost.
set -eu

bin=${BIN:-.bin}
dir=${DEMO_DIR:-.demo}
seed=${SEED:-1}
kit=$bin/egrettack-testkit
pids=

say() { echo "demo: $*" >&2; }

# run NAME COMMAND... starts a process with its log in the working directory.
run() {
	name=$1
	shift
	"$@" 2>"$dir/$name.log" >&2 &
	pid=$!
	pids="$pids $pid"
}

# finish ends exactly the processes that were started here.
finish() {
	status=$?
	trap - EXIT INT TERM
	for p in $pids; do
		kill -TERM "$p" 2>/dev/null || true
	done
	sleep 1
	for p in $pids; do
		kill -KILL "$p" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	exit "$status"
}

rm -rf "$dir"
mkdir -p "$dir"
"$kit" layout --tree testkit/demo/tree --out "$dir" --domain north --domain south --instances 6 \
	--hosts prairie/register:6 --hosts prairie/intake:4 --hosts agni/dispatch:6 --hosts agni/evidence:4 \
	--links --stop-timeout 15s
world="--world $dir/world.json"

trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
# shellcheck disable=SC2086 # $world is two words
{
	run platform "$kit" platform $world --values "$dir/values.json"
	run hosts "$kit" hosts $world
	run link "$kit" link $world --delay 4ms --jitter 1ms --seed "$seed"
	run fabric "$kit" fabric $world --seed "$seed"
}
ready=
for n in 1 2 3 4 5 6; do
	run "n$n" "$bin/egrettack" --settings "$dir/n$n.json"
	[ "$n" = 2 ] && stopped=$pid
	# The generated settings have one "http" line with the address.
	http=$(sed -n 's/.*"http": "\(.*\)".*/\1/p' "$dir/n$n.json")
	ready="$ready http://$http/readyz"
done
# shellcheck disable=SC2086 # a list of URLs
"$kit" await --timeout 15s $ready
say "six instances are ready"

# shellcheck disable=SC2086
"$kit" callers $world --name demo --duration 18s --seed "$seed" --prefix "demo: " --json "$dir/summary.json" \
	--load prairie/register/feed:count=60,every=100ms --load agni/dispatch/feed:count=60,every=100ms \
	--load prairie/register/lookup:rate=60,answer=2000,retry=3 \
	--load prairie/intake/upload:rate=15,size=60000,retry=5 \
	--load agni/dispatch/ticket:rate=50,retry=3 \
	--load agni/evidence/photo:rate=15,size=200000,retry=5 \
	>"$dir/summary" &
load=$!
pids="$pids $load"

sleep 5
say "draining backend server register2"
# shellcheck disable=SC2086
"$kit" host $world register2 draining
sleep 4
say "stopping instance n2"
kill -TERM "$stopped"
sleep 1
# shellcheck disable=SC2086
"$kit" instance $world n2 leaving
left=0
wait "$stopped" || left=$?
say "instance n2 has ended with status $left"

status=0
wait "$load" || status=$?
[ "$left" = 0 ] || status=1
cat "$dir/summary"
exit "$status"
