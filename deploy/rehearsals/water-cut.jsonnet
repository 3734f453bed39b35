// Ten minutes of a night with a water cut in one canton, when everybody reads the notice boards: two releases, the second
// of which fails only on post-notice; a host that stalls while it reports good health; bursts of traffic; a launcher that
// stalls during a wave; a killed router.
{
  name: 'water-cut',
  length: '10m',
  clients: { rate: 220, wave: 0.2, period: '60s' },
  releases: [
    { at: '40s', speed: 1.03 },
    { at: '330s', fault: 'class', class: 'post-notice', size: 0.6 },
  ],
  troubles: [
    { kind: 'launcher_silent', at: '47s', 'for': '9s' },
    { kind: 'burst', at: '120s', 'for': '20s', size: 1.9 },
    { kind: 'stall', at: '180s', 'for': '25s', share: 0.07 },
    { kind: 'router_kill', at: '230s', 'for': '4s', share: 0.34 },
    { kind: 'pause', at: '260s', 'for': '30s', each: '400ms', share: 0.3 },
    { kind: 'burst', at: '336s', 'for': '15s', size: 1.5, class: 'post-notice' },
    { kind: 'crash', at: '430s', 'for': '12s', share: 0.2 },
    { kind: 'hot_key', at: '500s', 'for': '30s', size: 0.2 },
  ],
}
