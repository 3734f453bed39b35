package wire

import "testing"

// Batches come from another program: any line must either be decoded into valid inputs or return an error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(bootLine))
	f.Add([]byte(`{"time_ms":1,"parts":[{"who":0,"input":[["job_in","r-1","c",0,null,240.5,null,0],["fired",1]]}]}`))
	f.Add([]byte(`{"time_ms":1,"parts":[{"who":0,"input":[["pool",0,[[1,"a","k",7,0,"SERVING",1,null]]],["update",1,"C",0]]}]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		b, err := NewDecoder().Decode(line)
		if err != nil {
			return
		}
		for _, p := range b.Parts {
			for _, in := range p.Inputs {
				if in.Boot == nil && !in.Crash && in.Event == nil {
					t.Errorf("%q: an input without boot, crash or event", line)
				}
			}
		}
	})
}
