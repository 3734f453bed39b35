// A build that slows down all servers in proportion to its own traffic, together with connection resets, a platform that
// goes silent during a wave, and clients with short timeouts. The build is detected late; docs/rehearsal.md has the
// distribution over seeds.
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
