// Normal operation for a minute: three routers, fifteen hosts at half load, one good release.
{
  name: 'calm',
  length: '60s',
  releases: [{ at: '8s', speed: 1.02 }],
}
