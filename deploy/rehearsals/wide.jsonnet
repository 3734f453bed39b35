// Full size: eighty routers, sixty hosts, little traffic at each router; a good build and a bad one. The evidence of a
// single router is not enough to decide on a build.
{
  name: 'wide',
  length: '75s',
  routers: { count: 80 },
  hosts: { count: 60 },
  clients: { rate: 1200 },
  releases: [{ at: '5s' }, { at: '45s', fault: 'slow', size: 2 }],
}
