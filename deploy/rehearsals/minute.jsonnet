// Several faults within a minute, also for live runs: a build that fails only on post-notice, a killed router, hosts that
// crash and pause, a host that stalls while it reports good health, and a burst of traffic.
{
  name: 'minute',
  length: '60s',
  releases: [{ at: '6s', fault: 'class', class: 'post-notice', size: 0.6 }],
  troubles: [
    { kind: 'router_kill', at: '3s', 'for': '2s', share: 0.34 },
    { kind: 'pause', at: '22s', 'for': '10s', each: '400ms', share: 0.2 },
    { kind: 'crash', at: '34s', 'for': '5s', share: 0.14 },
    { kind: 'burst', at: '45s', 'for': '6s', size: 1.5 },
    { kind: 'stall', at: '52s', 'for': '8s', share: 0.07 },
  ],
}
