// A sequence of builds, every second one with a different fault, while routers are restarted one after another.
{
  name: 'rolling-release',
  length: '240s',
  releases: [
    { at: '5s' },
    { at: '50s', fault: 'errors', size: 0.2 },
    { at: '90s', speed: 0.95 },
    { at: '140s', fault: 'slow', size: 2.5 },
    { at: '190s', fault: 'load', size: 0.5, busy: 0.4 },
  ],
  troubles: [{ kind: 'router_kill', at: '20s', 'for': '3s', share: 0.34, times: 5, every: '45s' }],
}
