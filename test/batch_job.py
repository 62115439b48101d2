"""A batch job of the process tests: its items, its upload and what is seen of it."""

import json

import history_checker
from fleet import MODEL, ask, call, wait_for

ITEMS = 600
PART = 40  # items in one upload; results are committed by part, so that progress shows
TOKENS = 60
POISON = 7  # an item that can never be done
NOT_REPEATABLE = 20  # every so many-th item
SLOW = ["--engine-arg=--step-base-us=20000", "--engine-arg=--step-per-running-us=2000"]


def prompt(i):
    return f"season {i}" + (" __poison__" if i == POISON else "")


def is_repeatable(i):
    return i % NOT_REPEATABLE != 0


def item_line(i):
    body = {"model": MODEL, "prompt": prompt(i), "max_tokens": TOKENS}
    line = {"custom_id": f"item-{i}", "url": "/v1/completions", "body": body}
    return json.dumps(line if is_repeatable(i) else {**line, "repeatable": False}) + "\n"


def upload(job, entry, items=ITEMS):
    """Status of the job's own PUT."""
    digests = []
    for start in range(0, items, PART):
        text = "".join(item_line(i) for i in range(start, min(start + PART, items)))
        status, answer = ask(entry["address"], "PUT",
                             f"/v1/jobs/{job}/parts/{len(digests)}", text)
        assert status == 200, answer
        digests.append(answer["digest"])
    return ask(entry["address"], "PUT", f"/v1/jobs/{job}?team=rye", json.dumps({"parts": digests}),
               {"Content-Type": "application/json"})[0]


class Job:
    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.away = set()  # entries that can't answer
        self.seen = None

    def entry(self):
        return next(e for e in self.fleet.entries if e["name"] not in self.away)

    def state(self):
        state = ask(self.entry()["address"], "GET", f"/v1/jobs/{self.name}")[1]
        if state != self.seen:
            self.fleet.note(f"job_state entry={self.entry()['name']} answer={json.dumps(state)}")
            self.seen = state
        return state

    def owner(self, above=0):
        """The living owner under an epoch above this one."""
        state = self.state()
        names = {entry["name"] for entry in self.fleet.entries} - self.away
        if state.get("owner") in names and state["epoch"] > above:
            return state["owner"], state["epoch"]
        return None

    def progress(self):
        before = self.state()
        wait_for(f"the job goes on from {before}",
                 lambda: self.state()["completed"] > before["completed"])

    def results(self, entry):
        _, headers, body = call(entry["address"], "GET", f"/v1/jobs/{self.name}/results")
        return headers, [json.loads(line) for line in body.splitlines()]

    def executions(self):
        return [run for run in self.fleet.executions() if run["item_key"].startswith(self.name)]


def check_results(job, entry, items=ITEMS):
    """Each item once, in order, with its own answer; the indices of failed ones."""
    headers, results = job.results(entry)
    assert headers["Figmill-Complete"] == "true"
    assert [r["custom_id"] for r in results] == [f"item-{i}" for i in range(items)]
    failed = set()
    for i, result in enumerate(results):
        if "error" in result:
            failed.add(i)
        else:
            text = result["response"]["body"]["choices"][0]["text"]
            assert text == history_checker.expected_answer(prompt(i), TOKENS), result
    # A not-repeatable item that a lost process had sent may end as not known.
    unknown = {i for i in failed if results[i]["error"]["kind"] == "outcome-unknown"}
    assert POISON in failed and not any(is_repeatable(i) for i in unknown), failed
    assert failed - unknown <= {POISON}, [results[i] for i in failed - unknown]
    return failed
