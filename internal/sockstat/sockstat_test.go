package sockstat

import (
	"net"
	"testing"
	"time"
)

func TestSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name string
		do   func(net.Conn) error
		want bool
	}{{"open", func(net.Conn) error { return nil }, true},
		{"closed by the other side", net.Conn.Close, false},
		{"unread byte", func(c net.Conn) error { _, err := c.Write([]byte("x")); return err }, false},
	} {
		a, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if !OpenAndEmpty(b) {
			t.Errorf("%s: not silent at the start", c.name)
		}
		if err := c.do(a); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); OpenAndEmpty(b) != c.want && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if OpenAndEmpty(b) != c.want {
			t.Errorf("%s: silent is %v", c.name, !c.want)
		}
		if c.name == "unread byte" {
			time.Sleep(30 * time.Millisecond)
			if ago := SinceReceived(b); ago < 10*time.Millisecond || ago > 10*time.Second {
				t.Errorf("a byte that came 30 ms ago came %v ago", ago)
			}
		}
		a.Close()
		b.Close()
	}
	p, q := net.Pipe()
	defer q.Close()
	if p.Close(); !OpenAndEmpty(p) || SinceReceived(p) != 0 {
		t.Error("what has no descriptor can't be asked")
	}
}
