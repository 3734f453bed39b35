// Settings of the optional features that the users' platform does not require, for `merlinarch serve --settings FILE`.
// Each feature is off unless this file names it; an unknown name is refused. The platform provides no persistent disk, so
// the ledger stays off there.
{
  // ledger: {
  //   file: '/var/lib/merlinarch/n0.ledger',  // one file for each router
  //   period: '1h',
  //   grace: '1m',
  //   on_failure: 'refuse',  // or 'serve': while the disk fails, answers go out uncounted; that is logged, and a counter shows it
  // },

  // The replicated configuration: this section is the same for routers, registrars and commands. See docs/accord.md.
  // accord: {
  //   cluster: 'plaza',
  //   registrars: {r1: '127.0.0.1:7101', r2: '127.0.0.1:7102', r3: '127.0.0.1:7103'},  // three or five
  //   without_lease: 'hold',  // or 'serve': continue with the last rules, but without builds on trial and planned work
  //   lease: '3s',  // length of a read lease; a shorter one confirms a cordon sooner; at least three beats
  //   beat: '750ms',
  //   send: '250ms',  // longest time from the check of the lease until the kernel has an attempt's last byte
  //   drift: 0.1,  // largest relative error of a clock's rate
  //   budget: 0.25,  // largest share of the capacity of a site and build that may be closed at the same time
  //   cold: '1m',  // how long a server counts as cold after its cordon is lifted, and a site after it is back
  //   auto: {agreeing: 3, most: 1, share: 0.5, least: 20},  // automatic cordons on evidence from dispatchers
  //   dispatch_room: 8,  // concurrent attempts of planned work at one warm site
  // },
}
