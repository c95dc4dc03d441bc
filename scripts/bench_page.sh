#!/bin/sh
# Writes the page of benchmark rows: bench_page.sh RESULTS PAGE. Rows that
# RESULTS lacks are left out of the table.
set -eu

results=$1
page=$2
targets=$(dirname "$0")/bench_targets.txt
cores=$(getconf _NPROCESSORS_ONLN)
{
	cat <<END
# Benchmarks

\`make bench\` writes this page. It runs \`scripts/bench.sh\`; \`PART=local\` leaves out the benchmarks
with real daemons; one row repeats with \`BIN=\$PWD/.bin go test -run '^\$' -bench NAME -benchtime 1x PACKAGE\`.
The last run was on $cores cores, on
$(date -u +%Y-%m-%d), with $(go version | cut -d' ' -f3). Nothing is checked against an absolute time
of an earlier run; a bound is a count or a ratio to a stated target.

\`ControlX\`, \`PlatformX\` and \`InForce\` start real daemons on loopback. \`Change\`, \`FlowState\`,
\`EncodedPeers\` and \`ViewChange\` run engines in one process, all but the last in virtual time.
\`Imbalance\` and \`Flood\` run the queueing model of \`testkit/queueing\` on the real group tables.
Bytes are UDP or TCP payload, in \`EncodedPeers\` with IP and UDP headers.

## Against targets and baselines

| benchmark | metric | measured | target | of target | baseline | note |
| --- | --- | --- | --- | --- | --- | --- |
END
	awk -F'|' '
	FNR == NR {
		if ($0 !~ /^Benchmark/) next
		n = split($0, f, /[ \t]+/)
		name = f[1]; sub(/^Benchmark/, "", name); sub(/-[0-9]+$/, "", name)
		for (i = 3; i < n; i += 2) value[name, f[i + 1]] = f[i]
		next
	}
	/^#/ || !(($1, $2) in value) { next }
	{
		v = value[$1, $2]; part = ""; base = ""
		if ($3 != "") {
			bound = substr($3, 3)
			part = bound > 0 ? sprintf("%.2f", v / bound) : (v > 0 ? "over" : "kept")
		}
		if ($4 != "") {
			split($4, w, "="); other = $1; sub(w[1], w[2], other)
			base = (other, $2) in value ? value[other, $2] : "not run"
		}
		target = $3; sub(/<=/, "at most ", target); sub(/>=/, "at least ", target)
		printf "| %s | %s | %s | %s | %s | %s | %s |\n", $1, $2, v, target, part, base, $5
	}' "$results" "$targets"
	cat <<END

## All rows

In the format of Go benchmarks; \`benchstat\` compares two runs of \`scripts/bench.sh\`.

\`\`\`
END
	grep -E '^(goos|goarch|cpu|pkg|Benchmark)' "$results" | tr -s ' \t' ' '
	echo '```'
} >"$page"
