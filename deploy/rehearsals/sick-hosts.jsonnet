// From the middle of a rollout, one in eight places has a faulty machine that fails most requests with any build. The new
// build is good. Each of the eighty routers sends a request to a given host only every few seconds, so it detects the
// fault late by its own evidence, and the failures of a few hosts look like failures of the new build.
{
  name: 'sick-hosts',
  length: '60s',
  routers: { count: 80 },
  hosts: { count: 60 },
  clients: { rate: 900 },
  releases: [{ at: '5s' }],
  troubles: [{ kind: 'fail', at: '12s', 'for': '20s', share: 0.125, size: 0.6 }],
}
