// A build that slows all servers in step with its own traffic, met with resets, a platform that falls silent in the
// middle of a wave, and clients that give up early: it is found late. docs/rehearsal.md has the spread over seeds.
{
  name: 'slow-fleet',
  length: '45s',
  clients: { rate: 260, patience: [0.3, 0.6], retries: 4 },
  releases: [{ at: '5s', fault: 'neighbours', size: 2.6 }],
  troubles: [
    { kind: 'link_loss', at: '0s', 'for': '44s', size: 0.02 },
    { kind: 'launcher_silent', at: '16s', 'for': '6s' },
  ],
}
