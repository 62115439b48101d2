"""The checker is silent on a good history and catches one bad history for each of its rules."""

import copy
import json
import os
import subprocess
import sys
import tempfile
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from history_checker import check, expected_answer


def ask(call, prompt, **members):
    return {"type": "request", "call": call, "prompt": prompt, "tokens": 8, "outcome": "answered",
            "text": expected_answer(prompt, 8), **members}


def run(key, state="finished", repeatable=True):
    return {"request_id": "r-" + key, "item_key": key, "repeatable": repeatable, "state": state, "tokens": 8}


def result(job, index, prompt):
    return {"type": "result", "job": job, "index": index, "outcome": "done", "text": expected_answer(prompt, 8)}


HISTORY = [
    ask("c1", "rye"),
    ask("c2", "rapeseed", item="k2", repeatable=False),
    ask("c3", "cliff", item="k3", outcome="refused", ran="no"),
    ask("c4", "tide", item="k4", outcome="accepted"),
    {"type": "read", "item": "k4", "outcome": "answered", "text": expected_answer("tide", 8)},
    {"type": "job", "job": "j", "accepted": True,
     "items": [{"prompt": "one", "tokens": 8}, {"prompt": "two", "tokens": 8, "repeatable": False}]},
    result("j", 0, "one"),
    result("j", 1, "two"),
    {"type": "job", "job": "gone", "accepted": True, "cancelled": True, "items": [{"prompt": "x", "tokens": 8}]},
]
RUNS = [run("k2", repeatable=False), run("k4"), run("j/0"), run("j/0"), run("j/1", repeatable=False),
        run("gone/0", "cancelled")]


def found(change):
    history, runs = copy.deepcopy(HISTORY), copy.deepcopy(RUNS)
    change(history, runs)
    return check(history, runs)


def expect_only(rule, subject, change):
    findings = found(change)
    assert len(findings) == 1 and findings[0].startswith(rule + ": " + subject), findings


def test_a_good_history_has_no_findings():
    assert found(lambda history, runs: None) == []


def test_a_lost_item_of_a_job_is_caught():
    expect_only("lost", "j/1", lambda history, runs: history.pop(7))


def test_a_lost_accepted_request_is_caught():
    expect_only("lost", "k4", lambda history, runs: history.pop(4))


def test_a_doubled_result_is_caught():
    expect_only("doubled", "j/0", lambda history, runs: history.append(result("j", 0, "one")))


def test_a_key_answered_in_two_ways_is_caught():
    def change(history, runs):
        history.append(ask("c9", "rye again", item="k2"))

    assert any(finding.startswith("doubled: k2") for finding in found(change))


def test_a_second_run_of_a_not_repeatable_item_is_caught_even_if_it_was_cancelled():
    expect_only("repeated", "k2", lambda history, runs: runs.append(run("k2", "cancelled", repeatable=False)))
    # The backend server was not told, but the caller had declared it.
    expect_only("repeated", "j/1", lambda history, runs: runs.append(run("j/1")))


def test_a_wrong_not_run_is_caught():
    expect_only("not run", "k3", lambda history, runs: runs.append(run("k3", "cancelled")))


def test_a_retried_key_that_ran_for_the_retry_is_no_wrong_not_run():
    def change(history, runs):
        history.append(ask("c9", "cliff", item="k3", ran="yes"))
        runs.append(run("k3"))

    assert found(change) == []


def test_a_mixed_up_answer_is_caught():
    expect_only("mixed up", "c1 got the answer of c2",
                lambda history, runs: history[0].update(text=history[1]["text"]))


def test_a_partial_answer_is_caught():
    expect_only("partial", "c1", lambda history, runs: history[0].update(text=history[0]["text"][:-5]))
    expect_only("partial", "j/0", lambda history, runs: history[6].update(text=""))


def test_an_answer_with_a_repeated_piece_is_caught():
    expect_only("wrong", "c1", lambda history, runs: history[0].update(text=history[0]["text"] * 2))


def test_an_item_that_runs_on_after_its_job_was_cancelled_is_caught():
    expect_only("not stopped", "gone/0", lambda history, runs: runs[-1].update(state="running"))


def test_the_program_says_what_it_found():
    with tempfile.TemporaryDirectory() as folder:
        paths = [os.path.join(folder, name) for name in ("history", "executions")]
        for path, lines in zip(paths, (HISTORY[:7], RUNS)):
            with open(path, "w", encoding="utf-8") as out:
                out.writelines(json.dumps(line) + "\n" for line in lines)
        checker = os.path.join(os.path.dirname(os.path.abspath(__file__)), "history_checker.py")
        done = subprocess.run([sys.executable, checker, *paths], capture_output=True, text=True)
        assert done.returncode == 1 and done.stdout.startswith("lost: j/1"), done


# The checker reckons answers on its own; were it to drift from the stand-in
# engine, every history would look wrong, or worse, a wrong one right.
def test_it_agrees_with_the_stand_in_engine():
    command = [os.path.join(sys.argv[1], "figmill-standin"), "engine", "--http", "127.0.0.1:0", "--model", "m"]
    engine = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        base = "http://" + engine.stdout.readline().split()[1]
        body = json.dumps({"model": "m", "prompt": "põld rye 7", "max_tokens": 9}).encode()
        headers = {"X-Request-Id": "r-1", "X-Item-Key": "k", "X-Repeatable": "false"}
        asked = urllib.request.Request(base + "/v1/completions", body, headers)
        with urllib.request.urlopen(asked, timeout=20) as answer:
            text = json.load(answer)["choices"][0]["text"]
        with urllib.request.urlopen(base + "/standin/executions", timeout=20) as answer:
            runs = [json.loads(line) for line in answer.read().splitlines()]
    finally:
        engine.terminate()
        engine.wait()
    request = {**ask("c", "põld rye 7", item="k", repeatable=False), "tokens": 9, "text": text}
    assert check([request], runs) == []
    assert check([request], runs * 2) == ["repeated: k is not repeatable and ran 2 times"]


for name, test in list(globals().items()):
    if name.startswith("test_"):
        test()
        print("passed", name, flush=True)
