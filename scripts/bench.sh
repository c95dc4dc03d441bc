#!/bin/sh
# Runs all benchmarks of the repository, one after the other, and prints them in
# Go benchmark format. PART selects "local" (one process), "nodes" (real daemons
# on loopback) or, by default, both. Results of two runs compare with benchstat.
# The nodes part needs the built binaries in BIN.
set -eu

part=${PART:-all}
bin=${BIN:-.bin}
case $bin in
/*) ;;
*) bin=$PWD/$bin ;;
esac

bench() { # PACKAGE PATTERN BENCHTIME
	go test -run '^$' -bench "$2" -benchtime "$3" -timeout 9m "$1"
}

if [ "$part" != nodes ]; then
	bench ./core/table 'Insert|Find|Sweep' 0.3s
	bench ./core/table 'Memory|Pause' 1x
	bench ./wire/... . 0.3s
	bench ./node/dataplane 'Decide|Refuse' 0.3s
	bench ./node/dataplane Loopback 1s
	bench ./node/platform . 1x
	bench ./settings/published . 0.5s
	bench ./core/engine Packet 0.5s
	bench ./core/group 'New|Esta|Miss|Tick' 0.5s
	bench ./testkit/queueing . 1x
	bench ./testkit/bench '^BenchmarkChange' 2x
	bench ./testkit/bench 'FlowState|EncodedPeers' 1x
	bench ./testkit/bench ViewChange 0.3s
fi
if [ "$part" != local ]; then
	BIN=$bin
	export BIN
	bench ./testkit/bench 'Control|Platform|InForce' 1x
fi
