package rig

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// StartRegistrars starts three registrars and returns them with the path of the settings that name them.
func (c *Case) StartRegistrars(extra Object) (settings string, registrars []*Process) {
	names := []string{"r1", "r2", "r3"}
	addresses := Object{}
	for _, name := range names {
		addresses[name] = c.FreePort()
	}
	accord := Object{"cluster": "plaza", "registrars": addresses}
	for k, v := range extra {
		accord[k] = v
	}
	text, err := json.Marshal(Object{"accord": accord})
	c.Must(err)
	settings = filepath.Join(c.Dir, "accord.json")
	c.Must(os.WriteFile(settings, text, 0o600))
	for _, name := range names {
		dir := filepath.Join(c.Dir, "store-"+name)
		c.Must(os.MkdirAll(dir, 0o700))
		if out, err := c.Command("registrar", "init", "--settings", settings, "--name", name, "--dir", dir); err != nil {
			c.End(2, "registrar init: %v: %s", err, out)
		}
		registrars = append(registrars, c.Start(name, "exec bin/merlinarch registrar run --settings "+settings+" --name "+name+" --dir "+dir))
	}
	return settings, registrars
}

// Command runs a command of bin/merlinarch to its end and returns what it printed.
func (c *Case) Command(arguments ...string) (string, error) {
	cmd := exec.Command("bin/merlinarch", arguments...)
	cmd.Dir = c.Root
	out, err := cmd.CombinedOutput()
	c.Log("merlinarch %s: %s (%v)", strings.Join(arguments, " "), strings.TrimSpace(string(out)), err)
	return string(out), err
}
