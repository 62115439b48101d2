"""A local fleet says when it is ready, how each process was started, and ends
just its own. Usage: local-fleet-test.py BUILD_DIR"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from kept_logs import LogFolder

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUND_SECONDS = 90


def await_that(what, holds):
    deadline = time.monotonic() + BOUND_SECONDS
    while not holds():
        assert time.monotonic() < deadline, f"in vain: {what}"
        time.sleep(0.05)


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
            return stat.read().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


def status_of(address, path, body=None):
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request("POST" if body else "GET", path, body)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except OSError:
        return None
    finally:
        connection.close()


def check_elements(fleet):
    counts = {kind: len(fleet[kind]) for kind in ("entries", "agents", "engines", "services")}
    assert counts == {"entries": 1, "agents": 2, "engines": 1, "services": 1}, counts
    assert fleet["models"] == ["note-llm"] and fleet["routes"] == ["field-app"]
    for each in processes_of(fleet):
        with open(f"/proc/{each['pid']}/cmdline", "rb") as cmdline:
            argv = cmdline.read().decode().split("\0")[:-1]
        assert argv == each["argv"], (argv, each["argv"])


def processes_of(fleet):
    kinds = ("entries", "agents", "engines", "services")
    return [fleet["platform"], *(each for kind in kinds for each in fleet[kind])]


def check_restart_by_hand(fleet):
    agent = fleet["agents"][0]
    os.kill(agent["pid"], signal.SIGKILL)
    await_that("the agent ended", lambda: not is_running(agent["pid"]))
    again = subprocess.Popen(agent["argv"], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        await_that("the agent is ready again",
                   lambda: status_of(agent["address"], "/healthz") == 200)
    finally:
        again.kill()
        again.wait()


def main():
    build = sys.argv[1]
    with LogFolder(build) as folder:
        started = subprocess.Popen(
            [ROOT / "support" / "local-fleet", "--build", build, "--entries", "1", "--agents", "1",
             "--services", "1", "--dir", folder])
        path = folder / "fleet.json"
        try:
            await_that("the fleet is ready",
                       lambda: path.exists() or started.poll() is not None)
            assert started.poll() is None, "local-fleet ended by itself"
            fleet = json.loads(path.read_text(encoding="utf-8"))
            check_elements(fleet)
            body = json.dumps({"model": "note-llm", "prompt": "rye", "max_tokens": 2})
            await_that("the entry answers a completion", lambda: status_of(
                fleet["entries"][0]["address"], "/v1/completions", body) == 200)
            check_restart_by_hand(fleet)
        finally:
            started.terminate()
            started.wait()
        for each in processes_of(fleet):
            assert not is_running(each["pid"]), f"{each['name']} is left over"
            assert (folder / f"{each['name']}.log").exists()


if __name__ == "__main__":
    main()
