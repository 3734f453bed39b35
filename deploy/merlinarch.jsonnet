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

  // Rules that all routers agree on: the same part for routers, registrars and commands. See docs/accord.md.
  // accord: {
  //   cluster: 'plaza',
  //   registrars: {r1: '127.0.0.1:7101', r2: '127.0.0.1:7102', r3: '127.0.0.1:7103'},  // three or five
  //   without_lease: 'hold',  // or 'serve': go on with the last rules, without builds on trial and planned work
  //   lease: '3s',  // the shorter, the sooner a cordon is certain to hold; at least three beats
  //   beat: '750ms',
  //   send: '250ms',  // from the look at the lease until an attempt's last byte is with the kernel
  //   drift: 0.1,  // of clocks' rates
  //   budget: 0.25,  // of a site's and build's capacity that may be out together
  //   cold: '1m',  // a server whose cordon was lifted, and a site that is back, are cold for so long
  //   auto: {agreeing: 3, most: 1, share: 0.5, least: 20},  // cordons by the dispatchers' own evidence
  //   dispatch_room: 8,  // tries of planned work out at one warm site together
  // },
}
