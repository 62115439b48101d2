"""The operators' tool against entries that are made here: what it prints, how it
exits, and that it never gives an order twice."""

import http.server
import json
import os
import pty
import select
import subprocess
import sys
import tempfile
import threading
import time

FIGMILL = os.path.join(sys.argv[1], "figmill")
NO_ANSWER = b""
BODY = b"Content-Length: 14\r\n\r\n{\"sequence\":9}"
BROKEN_HEADS = [b"HTTP/1.1 000 OK\r\n" + BODY, b"HTTP/1.1 200 OK\r\nBad Name: x\r\n" + BODY]


class Entry:
    """Answers each request with the next of `answers`; bytes: sends these and closes
    the connection."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                outer.requests.append((self.command, self.path, self.rfile.read(length).decode(), dict(self.headers)))
                answer = outer.answers.pop(0) if outer.answers else (500, {})
                if isinstance(answer, bytes):
                    self.wfile.write(answer)
                    self.close_connection = True
                    return
                status, document = answer
                body = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = answer

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.at = "127.0.0.1:%d" % self.server.server_port
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def environment(**variables):
    clean = {k: v for k, v in os.environ.items() if not k.startswith("FIGMILL_")}
    return {**clean, "FIGMILL_HISTORY": "", **variables}


def run(*arguments, stdin="", **variables):
    done = subprocess.run(
        [FIGMILL, *arguments], input=stdin, env=environment(**variables), capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout, done.stderr


def problem(kind, ran, detail="by the test"):
    return {"kind": kind, "ran": ran, "detail": detail, "title": kind, "status": 409}


TABLE = {
    "columns": [{"name": "host", "type": "text"}, {"name": "sequence", "type": "integer"}],
    "rows": [{"host": "e-1", "sequence": 812}],
}


def test_answers_as_table_and_as_json():
    entry = Entry((200, TABLE), (200, TABLE))
    code, out, _ = run("--entry", entry.at, "-c", "show hosts", FIGMILL_AUTHOR="kai")
    assert code == 0 and out == "host  sequence\ne-1        812\n(1 row)\n", out
    code, out, _ = run("--json", "-c", "show hosts", FIGMILL_ENTRY=entry.at)
    assert code == 0 and json.loads(out) == TABLE, out
    assert entry.requests[0][:3] == ("POST", "/v1/query", "show hosts")
    assert entry.requests[0][3]["Figmill-Operator"] == "kai"
    entry.close()


def test_exit_codes_follow_the_kind_of_error():
    for kind, status, code in [("stale-version", 412, 4), ("not-found", 404, 3), ("store-unavailable", 503, 6)]:
        entry = Entry((status, problem(kind, "no")))
        got, _, err = run("--entry", entry.at, "-c", "drain a-1")
        assert got == code and kind in err and "ran: no" in err, (kind, got, err)
        entry.close()
    code, _, err = run("-c", "show job")
    assert code == 2 and "column 6" in err and "jobs" in err and "\n       ^\n" in err, err


def check_order_outcome_unknown(answer):
    first, second = Entry(answer), Entry((200, {"sequence": 9}))
    code, out, err = run("--entry", f"{first.at},{second.at}", "-c", "drain a-1")
    assert code == 8 and out == "" and "show log" in err and "ran: unknown" in err, (code, out, err)
    assert len(first.requests) == 1 and second.requests == []
    first.close()
    second.close()


# Symptom: a drain that was lifted comes back. Events: the entry takes the order,
# its answer is lost, and another operator undrains meanwhile. Cause: the tool
# gives the order again to the next entry.
def test_an_order_whose_answer_was_lost_is_not_given_again():
    check_order_outcome_unknown(NO_ANSWER)


def test_an_order_whose_answer_is_malformed_is_not_given_again():
    # Guards against an order that counts as accepted by bytes that are no answer.
    for answer in BROKEN_HEADS:
        check_order_outcome_unknown(answer)


def test_the_next_entry_is_tried_when_nothing_can_have_happened():
    second = Entry((200, {"sequence": 9}), (200, TABLE))
    code, out, _ = run("--entry", f"127.0.0.1:1,{second.at}", "-c", "drain a-1")
    assert code == 0 and out == "accepted as 9\n", out
    first = Entry(NO_ANSWER)  # a question may be asked again
    code, _, _ = run("--entry", f"{first.at},{second.at}", "-c", "show hosts")
    assert code == 0 and len(first.requests) == 1
    first.close()
    first = Entry((503, problem("leaving", "no")))
    second.answers = [(200, {"sequence": 10})]
    code, out, _ = run("--entry", f"{first.at},{second.at}", "-c", "drain a-1")
    assert code == 0 and out == "accepted as 10\n", out
    first.close()
    second.close()
    code, _, err = run("--entry", "127.0.0.1:1", "-c", "drain a-1")
    assert code == 5 and "ran: no" in err, err


def test_a_script_stops_at_its_first_failure():
    entry = Entry((200, {"sequence": 1}), (409, problem("conflict", "no")), (200, {"sequence": 3}))
    script = "# a comment\n\ndrain a-1\ndrain a-2\ndrain a-3\n"
    code, out, err = run("--entry", entry.at, stdin=script)
    assert code == 4 and out == "accepted as 1\n" and "line 4" in err, (code, out, err)
    assert len(entry.requests) == 2
    entry.close()


def test_await_asks_until_in_force_and_shows_how_far():
    def spread(in_force):
        return {"sequence": 7, "nodes": 3, "in_force": in_force, "complete": in_force == 3, "behind": []}

    entry = Entry((200, spread(1)), (200, spread(2)), (200, spread(3)))
    code, out, err = run("--entry", entry.at, "-c", "await 7")
    assert code == 0 and "in force on all 3" in out, out
    assert "1 of 3" in err and "2 of 3" in err, err
    entry.close()


def test_apply_and_diff_check_the_document_before_they_send_it():
    service = {"name": "a", "kind": "model"}
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")

        def write(document):
            with open(path, "w", encoding="utf-8") as file:
                json.dump(document, file)

        write({"services": [{**service, "knd": 1}]})
        code, _, err = run("--entry", "127.0.0.1:1", "apply", path)
        assert code == 2 and "knd" in err, err
        write({"services": [{**service, "default_deadline_ms": 5000}]})
        entry = Entry(
            (200, {"version": 4, "config": {"services": [service]}}),
            (200, {"sequence": 5}),
            (200, {"version": 5, "config": {"services": [{**service, "default_deadline_ms": 5000}]}}),
        )
        code, out, _ = run("--entry", entry.at, "diff", path)
        assert code == 1 and "services/a/default_deadline_ms" in out and "(1 row)" in out, out
        code, out, _ = run("--entry", entry.at, "apply", path, "--if-version", "4")
        assert code == 0 and out == "accepted as 5\n", out
        assert entry.requests[1][1] == "/v1/config?if_version=4"
        assert run("--entry", entry.at, "diff", path)[0] == 0
        entry.close()


def read_until(descriptor, text, seconds=20):
    """What the terminal shows until `text` does; the time only ends a failed test."""
    shown = ""
    end = time.monotonic() + seconds
    while text not in shown:
        assert time.monotonic() < end, shown
        if select.select([descriptor], [], [], 0.5)[0]:
            shown += os.read(descriptor, 4096).decode(errors="replace")
    return shown


def test_at_a_terminal_words_are_completed_and_remembered():
    with tempfile.TemporaryDirectory() as folder:
        history = os.path.join(folder, "history")
        terminal, its_end = pty.openpty()
        variables = environment(FIGMILL_HISTORY=history, TERM="dumb")
        tool = subprocess.Popen(
            [FIGMILL], stdin=its_end, stdout=its_end, stderr=its_end, env=variables, start_new_session=True
        )
        os.close(its_end)
        read_until(terminal, "figmill> ")
        os.write(terminal, b"he\tawa\t\n")
        read_until(terminal, "await 815")
        os.write(terminal, b"quit\n")
        assert tool.wait(timeout=20) == 0
        os.close(terminal)
        with open(history, encoding="utf-8") as file:
            assert "help awa" in file.read()


def test_the_page_of_the_language_shows_every_statement():
    page = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../docs/operations/language.md")
    with open(page, encoding="utf-8") as file:
        text = file.read().replace("\\|", "|")
    statements = json.loads(run("--json", "-c", "help")[1])["statements"]
    assert len(statements) > 20
    for statement in statements:
        for part in ["usage", "meaning", "example"]:
            assert statement[part] in text, statement


def test_settings_are_checked():
    assert run("--check-settings")[0] == 0
    code, _, err = run("--check-settings", FIGMILL_ENTRY="nowhere")
    assert code == 2 and "FIGMILL_ENTRY" in err and "nowhere" in err, err
    code, _, err = run("--timeout", "0", "-c", "help")
    assert code == 2 and "0.1" in err, err


if __name__ == "__main__":
    for name, test in list(globals().items()):
        if name.startswith("test_"):
            test()
            print("passed", name)
