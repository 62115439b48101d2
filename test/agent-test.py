"""An agent beside a stand-in engine, as real processes: what entries see of it."""

import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "support"))

from ports import Ports  # noqa: E402

BUILD = sys.argv[1]
WAIT = 20  # seconds until a condition counts as never met
MB = 1 << 20


def wait_for(what, condition):
    end = time.monotonic() + WAIT
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError(f"never: {what}")


def call(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
    connection.request(method, path, body, headers or {})
    answer = connection.getresponse()
    data = answer.read()
    connection.close()
    return answer.status, data


def get_json(port, path):
    return json.loads(call(port, "GET", path)[1])


def frames_of(data):
    frames = []
    while data:
        kind, length = chr(data[0]), struct.unpack(">I", data[1:5])[0]
        frames.append((kind, data[5 : 5 + length]))
        data = data[5 + length :]
    return frames


class Answer:
    """A dispatch's answer: a whole body, or a problem document."""

    def __init__(self, status, data):
        self.problem = self.body = self.head = None
        if status != 200:
            self.problem = json.loads(data)
            return
        frames = frames_of(data)
        if frames[-1][0] == "F":
            self.problem = json.loads(frames[-1][1])
            return
        assert frames[0][0] == "H" and frames[-1][0] == "E", [f[0] for f in frames]
        self.head = json.loads(frames[0][1])
        self.body = b"".join(payload for kind, payload in frames if kind == "D")
        assert json.loads(frames[-1][1])["bytes"] == len(self.body)

    def text(self):
        assert self.problem is None, self.problem
        return json.loads(self.body)["choices"][0]["text"]

    def streamed_text(self):
        events = self.body.decode().split("\n\n")
        assert events[-2] == "data: [DONE]", events[-2]
        return "".join(json.loads(e[6:])["choices"][0]["text"] for e in events[:-2])


class Fleet:
    """One engine with its agent; only processes started here are ended."""

    def __init__(self, kind="engine", *options, backend=None):
        self.processes = []
        self.engine = backend or self.start_engine(kind, options)
        self.ports = Ports()
        self.agent = self.ports.port()
        self.agent_process = self.start(
            [os.path.join(BUILD, "figmilld"), "agent", "--node", "agent-1",
             "--http", f"127.0.0.1:{self.agent}", "--backend", f"127.0.0.1:{self.engine}",
             "--backend-kind", "model" if kind == "engine" else "plain",
             *([] if kind == "engine" else ["--service", "field-app"])]
        )
        self.status = wait_for("the agent listens", self.try_status)
        self.count = 0

    def start_engine(self, kind, options):
        binary = [os.path.join(BUILD, "figmill-standin"), kind, "--http", "127.0.0.1:0"]
        name = ["--model", "note-llm"] if kind == "engine" else ["--name", "field-app"]
        engine = self.start([*binary, *name, *options], stdout=subprocess.PIPE)
        return int(engine.stdout.readline().decode().rsplit(":", 1)[1])

    def start(self, arguments, **options):
        self.processes.append(subprocess.Popen(arguments, stderr=subprocess.DEVNULL, **options))
        return self.processes[-1]

    def try_status(self):
        try:
            return get_json(self.agent, "/agent/status")
        except OSError:
            return None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
            process.wait()
        self.ports.release()

    def headers(self, request, **more):
        self.count += 1
        headers = {
            "Content-Type": "application/json",
            "Figmill-Request": request,
            "Figmill-Incarnation": str(self.status["incarnation"]),
            "Figmill-Class": "online",
            "Figmill-Service": "note-llm",
            "Figmill-Path": "/v1/completions",
        }
        headers.update({"Figmill-" + k.replace("_", "-"): str(v) for k, v in more.items()})
        return headers

    def run(self, request, prompt, tokens=16, stream=False, **more):
        body = json.dumps({"model": "note-llm", "prompt": prompt, "max_tokens": tokens, "stream": stream})
        return Answer(*call(self.agent, "POST", "/agent/run", body, self.headers(request, **more)))

    def batch(self, request, prompt, tokens=16, **more):
        item = {"Class": "batch", "Item": f"job/{request}", "Owner": "entry-1", "Epoch": 1}
        return self.run(request, prompt, tokens, **{**item, **more})

    def direct(self, prompt, tokens=16):
        body = json.dumps({"model": "note-llm", "prompt": prompt, "max_tokens": tokens})
        answer = call(self.engine, "POST", "/v1/completions", body, {"X-Request-Id": f"direct-{prompt}"})
        return json.loads(answer[1])["choices"][0]["text"]

    def rpc(self, method, **params):
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params})
        return json.loads(call(self.agent, "POST", "/rpc", body)[1])

    def executions(self, request):
        lines = call(self.engine, "GET", "/standin/executions")[1].decode().splitlines()
        return [e for e in map(json.loads, lines) if e["request_id"] == request]

    def fault(self, **faults):
        assert call(self.engine, "POST", "/standin/faults", json.dumps(faults))[0] == 200

    def agent_memory_mb(self):
        """The most that the agent's process ever had resident."""
        status = pathlib.Path(f"/proc/{self.agent_process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(peak.split()[1]) / 1024

    def metric(self, name):
        for line in call(self.agent, "GET", "/metrics")[1].decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[-1])
        return 0.0


def test_answers_are_the_engines_own_streamed_or_whole():
    with Fleet() as fleet:
        expected = fleet.direct("rye on parcel 4")
        whole = fleet.run("whole", "rye on parcel 4")
        assert whole.text() == expected
        assert whole.head["request"] == "whole"
        assert json.loads(whole.body)["usage"]["completion_tokens"] == 16
        assert fleet.run("stream", "rye on parcel 4", stream=True).streamed_text() == expected
        assert fleet.run("bad", "x", tokens=0).head["status"] == 400
        assert fleet.batch("batch", "rye on parcel 4").text() == expected


def test_batch_stops_for_online_and_its_answers_stay_right():
    # Symptom: an item of a report has words twice, or none, after an online burst.
    # Sequence: batch fills the engine; online comes again and again; batch streams
    # are stopped, exported, imported and taken up.
    # Cause: the offset at which a stream goes on isn't the one at which it stopped.
    with Fleet() as fleet, concurrent.futures.ThreadPoolExecutor(40) as pool:
        prompts = {f"b{i}": f"season report {i}" for i in range(24)}
        items = {r: pool.submit(fleet.batch, r, p, 150) for r, p in prompts.items()}
        wait_for("batch runs", lambda: fleet.metric('figmill_agent_running{class="batch"}') > 12)
        for i in range(6):
            assert fleet.run(f"o{i}", f"visit {i}", 8).text() == fleet.direct(f"visit {i}", 8)
        assert fleet.metric("figmill_agent_batch_stops_total") > 0
        assert fleet.metric("figmill_agent_batch_tokens_kept_total") > 0
        expected = {r: pool.submit(fleet.direct, p, 150) for r, p in prompts.items()}
        for request in prompts:
            assert items[request].result().text() == expected[request].result(), request


def test_crossed_and_truncated_answers_become_the_right_ones():
    # Symptom: a farmer reads another farmer's summary, or half of his own.
    # Sequence: the engine swaps two answers; the engine ends one halfway.
    # Cause: nothing checked whose answer it is, and that it is whole.
    with Fleet() as fleet, concurrent.futures.ThreadPoolExecutor(2) as pool:
        expected = [fleet.direct(p) for p in ("first", "second")]
        fleet.fault(swap_answers=1)
        both = [pool.submit(fleet.run, f"swap-{p}", p) for p in ("first", "second")]
        assert [b.result().text() for b in both] == expected
        fleet.fault(truncate_answers=1)
        assert fleet.run("cut", "first", stream=True).streamed_text() == expected[0]
        assert len(fleet.executions("cut")) == 1


def test_a_request_id_runs_once_and_a_revoked_one_never():
    with Fleet() as fleet:
        once = {"Repeatable": "false", "Item": "flag-1"}
        refused = fleet.run("no-stamp", "flag", **once)
        assert (refused.problem["kind"], refused.problem["ran"]) == ("stale-orders", "no")
        stamp = fleet.try_status()["stamp"]
        assert fleet.run("r", "flag", Stamp=stamp, **once).text() == fleet.direct("flag")
        again = fleet.run("r", "flag", Stamp=stamp, **once)
        assert (again.problem["kind"], again.problem["ran"]) == ("conflict", "yes")
        assert len(fleet.executions("r")) == 1

        revoke = {"request": "late", "incarnation": fleet.status["incarnation"], "age_ms": 5}
        assert fleet.rpc("revoke", **revoke)["result"]["state"] == "never-started"
        assert fleet.run("late", "flag", Stamp=stamp, **once).problem["ran"] == "no"
        assert fleet.executions("late") == []
        assert fleet.rpc("revoke", **{**revoke, "request": "r"})["result"]["state"] == "finished"
        assert "error" in fleet.rpc("revoke", **{**revoke, "incarnation": 1})

        taken_up = fleet.run("r", "flag", Resume_From=0, **once)
        assert taken_up.text() == fleet.direct("flag")
        assert len(fleet.executions("r")) == 1


def test_a_sender_that_hangs_up_frees_the_engine():
    with Fleet() as fleet:
        sender = socket.create_connection(("127.0.0.1", fleet.agent))
        body = json.dumps({"model": "note-llm", "prompt": "long", "max_tokens": 5000})
        head = "Host: agent\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fleet.headers("gone").items())
        sender.sendall(f"POST /agent/run HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        wait_for("it runs", lambda: fleet.executions("gone"))
        sender.close()
        wait_for("it is cancelled", lambda: fleet.executions("gone")[0]["state"] == "cancelled")


def test_a_leaving_agent_refuses_new_work_and_cuts_none():
    with Fleet() as fleet, concurrent.futures.ThreadPoolExecutor(2) as pool:
        running = pool.submit(fleet.run, "long", "long", 200, True)
        wait_for("it runs", lambda: fleet.executions("long"))
        fleet.agent_process.send_signal(signal.SIGTERM)
        wait_for("it leaves", lambda: call(fleet.agent, "GET", "/readyz")[0] == 503)
        refused = fleet.run("new", "x")
        assert (refused.problem["kind"], refused.problem["ran"]) == ("leaving", "no")
        assert running.result().streamed_text() == fleet.direct("long", 200)
        assert fleet.agent_process.wait(WAIT) == 0


def test_a_plain_services_answer_passes_through():
    with Fleet("service", "--delay-ms", "20") as fleet:
        headers = fleet.headers("p", Path="/photos?parcel=4", Method="PUT", Service="field-app")
        answer = Answer(*call(fleet.agent, "POST", "/agent/run", b"photo", headers))
        echo = json.loads(answer.body)
        assert (echo["method"], echo["path"], echo["body_bytes"]) == ("PUT", "/photos", 5)
        assert len(fleet.executions("p")) == 1
        fleet.fault(slow_ms=400)
        once = {**headers, "Figmill-Request": "q", "Figmill-Item": "invoice", "Figmill-Repeatable": "false"}
        once["Figmill-Stamp"] = str(fleet.try_status()["stamp"])
        lost = http.client.HTTPConnection("127.0.0.1", fleet.agent, timeout=WAIT)
        lost.request("POST", "/agent/run", b"photo", once)
        wait_for("it runs", lambda: fleet.executions("q"))
        lost.close()
        resume = {**once, "Figmill-Resume-From": "0"}
        taken_up = Answer(*call(fleet.agent, "POST", "/agent/run", b"", resume))
        assert json.loads(taken_up.body)["body_bytes"] == 5
        assert Answer(*call(fleet.agent, "POST", "/agent/run", b"", resume)).problem["kind"] == "not-found"
        assert len(fleet.executions("q")) == 1


class ScriptedBackend:
    """Answers one request with these parts, one after the other, as far as they are taken."""

    def __init__(self, *parts):
        self.parts = parts
        self.sent = 0  # bytes
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT)
        self.port = self.listener.getsockname()[1]
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self):
        with contextlib.suppress(OSError):
            while self.sent == 0:
                with self.listener.accept()[0] as connection:
                    self.answer(connection)

    def answer(self, connection):
        if b" /engine/" in connection.recv(65536):  # an agent asks for its engine's state
            connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        for part in self.parts:
            connection.sendall(part)
            self.sent += len(part)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.thread.join()
        self.listener.close()


def endless_backend(content_type, piece):
    """A body without end, of which 256 MB are sent at most."""
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = piece * (MB // len(piece))
    return ScriptedBackend(head.encode(), *[b"%x\r\n%b\r\n" % (len(data), data)] * 256)


def check_endless_answer_is_refused(fleet, backend):
    most_kept_mb = 32
    before = fleet.agent_memory_mb()
    answer = fleet.run("endless", "rye on parcel 4")
    backend.thread.join(WAIT)
    assert backend.sent < 2 * most_kept_mb * MB, backend.sent
    grown_mb = fleet.agent_memory_mb() - before
    # The storage of a string is copied to one of twice the size when it grows.
    assert grown_mb < 3 * most_kept_mb, grown_mb
    assert answer.problem["kind"] == "backend-failed", answer.problem
    assert answer.problem["ran"] == "yes", answer.problem


def test_a_plain_answer_without_end_does_not_fill_the_agents_memory():
    # Guards against an agent that keeps each byte of an answer until it is complete.
    with endless_backend("image/png", bytes(1024)) as backend:
        with Fleet("service", backend=backend.port) as fleet:
            check_endless_answer_is_refused(fleet, backend)


def test_a_stream_without_end_does_not_fill_the_agents_memory():
    # The same for events that are assembled into one answer.
    event = json.dumps({"choices": [{"index": 0, "text": "z" * 32768}]})
    with endless_backend("text/event-stream", f"data: {event}\n\n".encode()) as backend:
        with Fleet("engine", backend=backend.port) as fleet:
            check_endless_answer_is_refused(fleet, backend)


def test_bytes_that_are_no_answer_are_not_passed_on():
    # Guards against a status or a field that HTTP/1 doesn't know, as an answer.
    for head in (b"HTTP/1.1 000 OK\r\n", b"HTTP/1.1 200 OK\r\nBad Name: x\r\n"):
        with ScriptedBackend(head + b"Content-Length: 2\r\n\r\nhi") as backend:
            with Fleet("service", backend=backend.port) as fleet:
                problem = fleet.run("malformed", "rye on parcel 4").problem
                assert (problem["kind"], problem["ran"]) == ("broken-answer", "unknown"), problem


for name, test in list(globals().items()):
    if name.startswith("test_"):
        print(name, flush=True)
        test()
