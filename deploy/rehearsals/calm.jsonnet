// A calm minute: three routers, fifteen hosts half busy, one good release.
{
  name: 'calm',
  length: '60s',
  releases: [{ at: '8s', speed: 1.02 }],
}
