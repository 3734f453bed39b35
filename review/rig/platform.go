package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// StartPlatform starts a release platform with one state that does not change: news to those who watch, a sign of life each
// second, and OK to each vote.
func (c *Case) StartPlatform(state string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var mu sync.Mutex
				write := func(line string) error {
					mu.Lock()
					defer mu.Unlock()
					_, err := fmt.Fprintf(conn, "%s\r\n", line)
					return err
				}
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					switch text := lines.Text(); {
					case text == "WATCH":
						write("OK")
						write("* news " + state)
						go func() {
							for time.Sleep(time.Second); write("*") == nil; time.Sleep(time.Second) {
							}
						}()
					case strings.HasPrefix(text, "VOTE "):
						write("OK " + state)
					default:
						write("ERR SYNTAX")
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
