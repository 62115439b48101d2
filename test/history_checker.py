"""Judges a run from outside: what callers got against what backend servers did.

It shares no code with the daemon. A history is NDJSON, one event a line:

  {"type": "request", "call", "item"?, "repeatable"?, "prompt", "tokens",
   "outcome": "answered" | "refused" | "broken" | "accepted", "ran"?, "text"?}
  {"type": "read", "item", "outcome": "answered" | "failed", "text"?}
  {"type": "job", "job", "accepted", "cancelled"?, "items": [{"prompt", "tokens", "repeatable"?}]}
  {"type": "result", "job", "index", "outcome": "done" | "failed" | "unknown", "text"?}

`item` is the Idempotency-Key; an item of a job is known as JOB/INDEX. `broken`
means that the caller could tell its answer was not whole. Executions are the
lines of the stand-ins' GET /standin/executions, read once all is quiet.

usage: history_checker.py HISTORY EXECUTIONS...
"""

import collections
import json
import sys

MASK = (1 << 64) - 1


def expected_answer(prompt, tokens):
    """The stand-in engine's whole answer, which follows from the prompt alone."""
    seed = 14695981039346656037
    for byte in prompt.encode():
        seed = ((seed ^ byte) * 1099511628211) & MASK
    words = []
    for index in range(tokens):
        bits = (seed + index + 0x9E3779B97F4A7C15) & MASK
        bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & MASK
        bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & MASK
        bits ^= bits >> 31
        consonants, vowels = "bdfghjklmnprstvz", "aeio"
        words.append(
            consonants[bits & 15] + vowels[bits >> 4 & 3] + consonants[bits >> 6 & 15] + vowels[bits >> 10 & 3]
        )
    return " ".join(words)


def items_of(job):
    for index, item in enumerate(job["items"]):
        yield "%s/%d" % (job["job"], index), item


class Checker:
    def __init__(self, history, executions):
        by_type = collections.defaultdict(list)
        for event in history:
            by_type[event["type"]].append(event)
        self.requests = by_type["request"]
        self.reads = by_type["read"]
        self.jobs = by_type["job"]
        self.results = collections.defaultdict(list)
        for result in by_type["result"]:
            self.results["%s/%d" % (result["job"], result["index"])].append(result)
        self.executions = collections.defaultdict(list)
        for execution in executions:
            self.executions[execution["item_key"]].append(execution)
        self.findings = []

    def find(self, rule, what):
        self.findings.append("%s: %s" % (rule, what))

    def check(self):
        self.check_nothing_lost()
        self.check_nothing_doubled()
        self.check_not_repeatable()
        self.check_not_run()
        self.check_answers()
        self.check_cancelled()
        return self.findings

    def check_nothing_lost(self):
        read = {event["item"] for event in self.reads}
        for request in self.requests:
            if request["outcome"] == "accepted" and request["item"] not in read:
                self.find("lost", "%s was accepted and has no result" % request["item"])
        for job in self.jobs:
            if not job["accepted"] or job.get("cancelled"):
                continue
            for key, _ in items_of(job):
                if key not in self.results:
                    self.find("lost", "%s was accepted and has no result" % key)

    def check_nothing_doubled(self):
        for key, results in self.results.items():
            if len(results) > 1:
                self.find("doubled", "%s has %d results" % (key, len(results)))
        texts = collections.defaultdict(set)
        for event in self.requests + self.reads:
            if event.get("item") and event["outcome"] == "answered":
                texts[event["item"]].add(event["text"])
        for key, seen in texts.items():
            if len(seen) > 1:
                self.find("doubled", "%s was answered in %d ways" % (key, len(seen)))

    def check_not_repeatable(self):
        once = {key for key, runs in self.executions.items() if any(not run["repeatable"] for run in runs)}
        once |= {r["item"] for r in self.requests if r.get("item") and not r.get("repeatable", True)}
        for job in self.jobs:
            once |= {key for key, item in items_of(job) if not item.get("repeatable", True)}
        for key in sorted(once):
            runs = len(self.executions[key])
            if key and runs > 1:
                self.find("repeated", "%s is not repeatable and ran %d times" % (key, runs))

    def check_not_run(self):
        """A key that several calls used ran for any of them; then only all of them saying no is wrong."""
        said = collections.defaultdict(set)
        for request in self.requests:
            if request.get("item"):
                said[request["item"]].add(request.get("ran", "yes"))
        for key, answers in said.items():
            if answers == {"no"} and self.executions[key]:
                self.find("not run", "%s was refused as not run and ran" % key)

    def check_answers(self):
        answers = []
        prompts = {}
        for request in self.requests:
            if request.get("item"):
                prompts[request["item"]] = request
            if request["outcome"] == "answered":
                answers.append((request["call"], request, request["text"]))
        for read in self.reads:
            if read["outcome"] == "answered" and read["item"] in prompts:
                answers.append((read["item"], prompts[read["item"]], read["text"]))
        for job in self.jobs:
            for key, item in items_of(job):
                for result in self.results.get(key, []):
                    if result["outcome"] == "done":
                        answers.append((key, item, result["text"]))
        owners = {expected_answer(asked["prompt"], asked["tokens"]): name for name, asked, _ in answers}
        for name, asked, text in answers:
            self.judge_answer(name, expected_answer(asked["prompt"], asked["tokens"]), text, owners)

    def judge_answer(self, name, expected, text, owners):
        if text == expected:
            return
        if expected.startswith(text):
            self.find("partial", "%s got %d of %d bytes as a whole answer" % (name, len(text), len(expected)))
        elif text in owners:
            self.find("mixed up", "%s got the answer of %s" % (name, owners[text]))
        else:
            self.find("wrong", "%s got what nobody's answer is: %.60r" % (name, text))

    def check_cancelled(self):
        for job in self.jobs:
            if not job.get("cancelled"):
                continue
            for key, _ in items_of(job):
                if any(run["state"] == "running" for run in self.executions[key]):
                    self.find("not stopped", "%s still runs though its job was cancelled" % key)


def check(history, executions):
    """One line for each finding; none when all is well."""
    return Checker(history, executions).check()


def read_lines(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def main():
    history = read_lines(sys.argv[1])
    executions = [line for path in sys.argv[2:] for line in read_lines(path)]
    findings = check(history, executions)
    print("\n".join(findings) or "nothing lost, doubled, repeated, mixed up or partial")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
