package platform

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"merlinarch/logic"
)

// Words and fields of the platform's line protocol, and the limits on what it may report.
const (
	callWatch       = "WATCH"
	callVote        = "VOTE"
	wordOK          = "OK"
	wordError       = "ERR"
	wordUnsolicited = "*"
	kindStatus      = "news"

	fieldBuild = "release"
	fieldStage = "tranche"
	fieldPhase = "mode"
	fieldCap   = "exposure"
	fieldAge   = "old_ms"

	buildIDLimit = 1 << 16 // all build IDs are below it
	stageLimit   = 1 << 10 // all stages are below it
)

// verdictWords maps verdicts to the words in a VOTE line.
var verdictWords = map[logic.Verdict]string{logic.VoteNone: "blank", logic.VoteAdvance: "go", logic.VoteHold: "stay",
	logic.VoteRollBack: "stop"}

// phasesByWord maps the words for a release's phase to phases.
var phasesByWord = map[string]logic.Phase{"trial": logic.OnTrial, "rolling_back": logic.RollingBack,
	"released": logic.Released, "withdrawn": logic.Withdrawn}

// refusalReplies maps the words after ERR to replies.
var refusalReplies = map[string]logic.VoteReply{"BUSY": logic.VoteThrottled, "STALE": logic.VoteStale,
	"FAILED": logic.VoteError, "SYNTAX": logic.VoteError}

// ignoredKinds are the kinds of unsolicited lines besides release statuses that the platform sends in other deployments.
var ignoredKinds = []string{"counts", "report"}

// formatVote formats a vote as a VOTE line.
func formatVote(v logic.Vote) string {
	return fmt.Sprintf("%s %d %d %s\r\n", callVote, v.Build, v.Stage, verdictWords[v.Verdict])
}

// unreadableLineError returns the error for a line that can't be parsed.
func unreadableLineError(text string) error {
	return fmt.Errorf("platform: unreadable line %.80q", text)
}

// parse parses the answer to a call. The answer to WATCH carries no status.
func (c *call) parse(text string) (logic.ReleaseStatus, error) {
	if c.isVote {
		return parseVoteReply(text)
	}
	if text != wordOK {
		return logic.ReleaseStatus{}, unreadableLineError(text)
	}
	return logic.ReleaseStatus{}, nil
}

// parseVoteReply parses the answer to a vote.
func parseVoteReply(text string) (logic.ReleaseStatus, error) {
	words := strings.Split(text, " ")
	switch {
	case len(words) == 2 && words[0] == wordError:
		if reply, ok := refusalReplies[words[1]]; ok {
			return logic.ReleaseStatus{IsReply: true, Reply: reply}, nil
		}
	case words[0] == wordOK:
		if e, err := parseStatus(words[1:]); err == nil {
			e.IsReply = true
			return e, nil
		}
	}
	return logic.ReleaseStatus{}, unreadableLineError(text)
}

// parseUnsolicited parses a line that answers no call. isStatus is false for a heartbeat and for lines of other kinds.
func parseUnsolicited(text string) (e logic.ReleaseStatus, isStatus bool, err error) {
	words := strings.Split(text, " ")
	switch {
	case words[0] != wordUnsolicited:
		return e, false, unreadableLineError(text)
	case len(words) == 1 || slices.Contains(ignoredKinds, words[1]):
		return e, false, nil
	case words[1] != kindStatus:
		return e, false, unreadableLineError(text)
	}
	if e, err = parseStatus(words[2:]); err != nil {
		return e, false, unreadableLineError(text)
	}
	return e, true, nil
}

var errInvalidStatus = errors.New("invalid release status")

// parseStatus parses a status, which consists of build, stage, phase, exposure cap and age of the stage.
func parseStatus(words []string) (logic.ReleaseStatus, error) {
	if len(words) != 5 { // truncated, or followed by something else
		return logic.ReleaseStatus{}, errInvalidStatus
	}
	build, err1 := strconv.Atoi(words[0])
	stage, err2 := strconv.Atoi(words[1])
	exposureCap, err3 := strconv.ParseFloat(words[3], 64)
	age, err4 := strconv.ParseFloat(words[4], 64)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return logic.ReleaseStatus{}, fmt.Errorf("%w: %w", errInvalidStatus, err)
	}
	return newReleaseStatus(build, stage, words[2], exposureCap, age)
}

// newReleaseStatus checks the fields of a status and returns it.
func newReleaseStatus(build, stage int, phase string, exposureCap, ageMS float64) (logic.ReleaseStatus, error) {
	p, ok := phasesByWord[phase]
	if !ok || build < 0 || build >= buildIDLimit || stage < 0 || stage >= stageLimit ||
		!(exposureCap >= 0 && exposureCap <= 1) || !(ageMS >= 0 && ageMS < 1e12) {
		return logic.ReleaseStatus{}, errInvalidStatus
	}
	return logic.ReleaseStatus{Build: logic.BuildID(build), Stage: stage, Phase: p, Cap: exposureCap,
		StageAge: time.Duration(ageMS * float64(time.Millisecond))}, nil
}

// DecodeReleaseStatus decodes the release status that the configuration holds.
func DecodeReleaseStatus(v *fastjson.Value) (logic.ReleaseStatus, error) {
	if v == nil || v.Type() != fastjson.TypeObject || !v.Exists(fieldBuild) {
		return logic.ReleaseStatus{}, errInvalidStatus
	}
	return newReleaseStatus(v.GetInt(fieldBuild), v.GetInt(fieldStage), string(v.GetStringBytes(fieldPhase)),
		v.GetFloat64(fieldCap), v.GetFloat64(fieldAge))
}
