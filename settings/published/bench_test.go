package published_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/published"
)

// The size to design for: 420 instances before 3,500 hosts behind 500
// addresses in 7 domains.
const (
	domains         = 7
	services        = 100
	kindsPerService = 5 // one address each
	hostsPerList    = 5 // of one service in one domain
	instances       = 420
)

func domainName(d int) string { return fmt.Sprintf("domain%d", d) }

func hostList(service, domain int, draining bool) string {
	var hosts []string
	for i := range hostsPerList {
		n := (service*domains+domain)*hostsPerList + i
		state := "ready"
		if draining && i == 0 {
			state = "draining"
		}
		hosts = append(hosts, fmt.Sprintf(
			`{"id": %d, "name": "host%d", "tunnel": "10.%d.%d.%d:6081", "health": "http://10.%d.%d.%d:8080/health", "state": "%s"}`,
			n+1, n, domain, n/250, n%250+1, domain, n/250, n%250+1, state))
	}
	return `{"hosts": [` + strings.Join(hosts, ",\n") + `]}`
}

func large() published.Values {
	v := published.Values{Revision: 1, Full: true, Values: make(map[string]string)}
	var names []string
	for d := range domains {
		names = append(names, fmt.Sprintf(`"%s": {"number": %d, "region": "region%d"}`, domainName(d), d+1, d%2))
		var list []string
		for i := d; i < instances; i += domains {
			list = append(list, fmt.Sprintf(`{"id": %d, "name": "n%d", "data": "10.%d.200.%d:6081", "control": "10.%d.200.%d:6082", "rpc": "10.%d.200.%d:6083"}`,
				i+1, i, d, i%250+1, d, i%250+1, d, i%250+1))
		}
		v.Values["instances/"+domainName(d)] = `{"instances": [` + strings.Join(list, ",\n") + `]}`
	}
	v.Values["settings/root"] = `{"level": "root", "domains": {` + strings.Join(names, ", ") + `}, "work": {"deadline": "2s"}}`
	for s := range services {
		district := fmt.Sprintf("d%d", s%10)
		v.Values["settings/"+district] = `{"level": "district"}`
		path := fmt.Sprintf("%s/s%d", district, s)
		v.Values["settings/"+path] = fmt.Sprintf(`{"level": "service", "number": %d, "work": {"share": 0.1, "occupies": "slot"}}`, s+1)
		for k := range kindsPerService {
			v.Values[fmt.Sprintf("settings/%s/k%d", path, k)] = fmt.Sprintf(
				`{"level": "kind", "number": %d, "addresses": ["10.100.%d.%d:7000/tcp"], "work": {"class": %d}}`, k+1, s, k+1, k)
		}
		for d := range domains {
			v.Values["hosts/"+domainName(d)+"/"+published.ListName(path)] = hostList(s, d, false)
		}
	}
	held, err := published.Merge(published.Values{}, v)
	if err != nil {
		panic(err)
	}
	return held
}

// drainOne is the change of one host list.
func drainOne(revision snapshot.Version) published.Values {
	return published.Values{
		Revision: revision, After: revision - 1,
		Values: map[string]string{"hosts/domain0/d0.s0": hostList(0, 0, revision%2 == 0)},
	}
}

// heap returns the bytes in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply measures what one change costs an instance: merging it,
// checking everything and building the snapshot.
func BenchmarkApply(b *testing.B) {
	empty := heap()
	held := large()
	var cache published.Cache
	s, err := cache.Build(held, nil)
	if err != nil {
		b.Fatal(err)
	}
	if len(s.Hosts) != 3500 || len(s.Instances) != instances {
		b.Fatalf("%d hosts, %d instances", len(s.Hosts), len(s.Instances))
	}
	wire, _ := json.Marshal(drainOne(2))
	full, _ := json.Marshal(held.Since(0))
	b.ReportAllocs()
	for b.Loop() {
		if held, err = published.Merge(held, drainOne(held.Revision+1)); err != nil {
			b.Fatal(err)
		}
		if s, err = cache.Build(held, s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap()-empty), "heap-bytes") // of values, cache and snapshot
	runtime.KeepAlive(&cache)
	runtime.KeepAlive(s)
	b.ReportMetric(float64(len(wire)), "change-bytes")
	b.ReportMetric(float64(len(full)), "full-bytes")
}
