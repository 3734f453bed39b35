// Settings of what merlinarch has beyond the users' platform, for `merlinarch serve --settings FILE`. All of it is
// off unless it is named here; an unknown name is refused. The platform itself gives no disk that lasts: there the
// ledger stays off.
{
  // ledger: {
  //   file: '/var/lib/merlinarch/n0.ledger',  // one file for each router
  //   period: '1h',
  //   grace: '1m',
  //   on_failure: 'refuse',  // or 'serve': answers go out uncounted while the disk fails, which is said and counted
  // },
}
