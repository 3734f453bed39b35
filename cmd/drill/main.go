// Command drill connects the decision module to the simulator: it reads batches from standard input and writes replies to
// standard output. One process holds many independent instances, each of which is one router.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"

	"merlinarch/internal/logging"
	"merlinarch/internal/wire"
	"merlinarch/logic"
)

func main() {
	log, err := logging.New("info")
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
	if err := run(os.Stdin, os.Stdout); err != nil {
		log.Error("drill stopped", zap.Error(err))
		os.Exit(1)
	}
}

// run reads batches from in until it ends and answers each with one line on out.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	decoder := wire.NewDecoder()
	routers := map[int64]*logic.Router{}
	var reply wire.Reply
	for n := 1; ; n++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read line %d: %w", n, err)
		}
		batch, err := decoder.Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		reply.Reset()
		for _, part := range batch.Parts {
			actions, err := handlePart(routers, part, batch)
			if err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if err := reply.Add(part.Instance, actions); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
		}
		if _, err := out.Write(reply.Line()); err != nil {
			return fmt.Errorf("write reply %d: %w", n, err)
		}
	}
}

// handlePart passes one instance its events in order and returns its actions. A crash removes the instance and discards the
// actions that precede it in the batch.
func handlePart(routers map[int64]*logic.Router, part wire.Part, batch wire.Batch) ([]logic.Action, error) {
	var actions []logic.Action
	for _, in := range part.Inputs {
		switch {
		case in.Crash:
			delete(routers, part.Instance)
			actions = actions[:0]
		case in.Boot != nil:
			routers[part.Instance] = logic.New(in.Boot.Settings, in.Boot.Seed)
		default:
			r, ok := routers[part.Instance]
			if !ok {
				return nil, fmt.Errorf("instance %d has an event (%T) but was never booted", part.Instance, in.Event)
			}
			actions = append(actions, r.Handle(batch.Now, in.Event)...)
		}
	}
	return actions, nil
}
