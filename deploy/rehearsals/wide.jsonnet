// Full size: eighty routers, sixty hosts, and little traffic at each router; a good build and a bad one. What each
// router sees alone is too little to judge a build by.
{
  name: 'wide',
  length: '75s',
  routers: { count: 80 },
  hosts: { count: 60 },
  clients: { rate: 1200 },
  releases: [{ at: '5s' }, { at: '45s', fault: 'slow', size: 2 }],
}
