"""The fault proxy does what its rules say, seen from both of its ends."""

import contextlib
import http.client
import json
import os
import select
import socket
import subprocess
import sys
import threading

PROXY = os.path.join(sys.argv[1], "figmill-fault-proxy")
LIMIT = 20  # seconds until a wait counts as failed


def echo_server():
    """Answers every connection's bytes with the same bytes, marked."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection):
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(65536):
                connection.sendall(b"<" + data + b">")

    def accept():
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


class Proxy:
    def __init__(self, *links):
        arguments = [PROXY]
        for forward, *udp in links:
            arguments += ["--listen", "127.0.0.1:0", "--forward", "%s:%d" % forward, *udp]
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
        ready = json.loads(self.process.stdout.readline())
        self.admin = ready["admin"]
        self.links = [(host, int(port)) for host, port in (link.split(":") for link in ready["links"])]

    def call(self, method, path, body=None):
        connection = http.client.HTTPConnection(self.admin, timeout=LIMIT)
        connection.request(method, path, body)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else None

    def rule(self, **members):
        status, answer = self.call("POST", "/rules", json.dumps(members))
        assert status == 201, answer
        return answer["id"]

    def hits(self, rule):
        return next(r["hits"] for r in self.call("GET", "/rules")[1] if r["id"] == rule)

    def connect(self, link=0):
        connection = socket.create_connection(self.links[link], timeout=LIMIT)
        return connection

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.terminate()
        assert self.process.wait(LIMIT) == 0


def read_exactly(connection, size):
    data = b""
    while len(data) < size and (chunk := connection.recv(size - len(data))):
        data += chunk
    return data


def is_silent(connection):
    return not select.select([connection], [], [], 0.3)[0]


def ends_with_reset(connection):
    try:
        while connection.recv(65536):
            pass
    except ConnectionResetError:
        return True
    return False


def is_refused(proxy, link=0):
    """Whether a new connection is reset; that may show in connecting already."""
    try:
        with proxy.connect(link) as caller:
            return ends_with_reset(caller)
    except ConnectionResetError:
        return True


def with_echo(test):
    def run():
        with echo_server() as server, Proxy((server.getsockname(),)) as proxy:
            test(proxy)

    run.__name__ = test.__name__
    return run


@with_echo
def test_without_rules_bytes_pass_unchanged(proxy):
    with proxy.connect() as caller:
        sent = bytes(range(65, 91)) * 10_000
        threading.Thread(target=caller.sendall, args=(sent,), daemon=True).start()
        got = b""
        while len(got) < len(sent):  # the marks come on top of the bytes
            got += caller.recv(65536).replace(b"<", b"").replace(b">", b"")
        assert got == sent


@with_echo
def test_drop_resets_new_connections_and_is_spent(proxy):
    rule = proxy.rule(fault="drop", times=1)
    assert is_refused(proxy)
    with proxy.connect() as caller:
        caller.sendall(b"x")
        assert read_exactly(caller, 3) == b"<x>"
    assert proxy.hits(rule) == 1


@with_echo
def test_cut_passes_so_many_bytes_then_resets(proxy):
    proxy.rule(fault="cut", direction="to-caller", after_bytes=4)
    with proxy.connect() as caller:
        caller.sendall(b"answer")
        got = b""
        try:
            while chunk := caller.recv(64):
                got += chunk
            assert False, "ended in good order"
        except ConnectionResetError:
            pass
        assert b"<answer>".startswith(got) and len(got) <= 4, got


@with_echo
def test_half_open_swallows_the_rest_and_stays_open(proxy):
    proxy.rule(fault="half-open", direction="to-caller", after_bytes=3)
    with proxy.connect() as caller:
        caller.sendall(b"answer")
        assert read_exactly(caller, 3) == b"<an"
        assert is_silent(caller)
        caller.sendall(b"still there")  # no error


@with_echo
def test_partition_holds_bytes_back_until_it_heals(proxy):
    with proxy.connect() as caller:
        rule = proxy.rule(fault="partition")
        caller.sendall(b"x")
        assert is_silent(caller)
        assert proxy.call("DELETE", "/rules/%d" % rule)[0] == 204
        assert read_exactly(caller, 3) == b"<x>"


@with_echo
def test_swap_gives_two_callers_each_others_answers(proxy):
    rule = proxy.rule(fault="swap")
    with proxy.connect() as first, proxy.connect() as second:
        first.sendall(b"1")
        second.sendall(b"2")
        assert read_exactly(first, 3) == b"<2>"
        assert read_exactly(second, 3) == b"<1>"
    assert proxy.hits(rule) == 1


@with_echo
def test_delay_holds_each_chunk(proxy):
    proxy.rule(fault="delay", direction="to-caller", delay_ms=500)
    with proxy.connect() as caller:
        caller.sendall(b"x")
        assert is_silent(caller)
        assert read_exactly(caller, 3) == b"<x>"


def test_a_rule_strikes_only_its_link():
    with echo_server() as server, Proxy((server.getsockname(),), (server.getsockname(),)) as proxy:
        proxy.rule(fault="drop", link=1)
        with proxy.connect(0) as caller:
            caller.sendall(b"x")
            assert read_exactly(caller, 3) == b"<x>"
        assert is_refused(proxy, 1)


def udp_pair():
    ends = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for end in ends:
        end.bind(("127.0.0.1", 0))
        end.settimeout(LIMIT)
    return ends


def with_udp(test):
    def run():
        server, caller = udp_pair()
        with server, caller, Proxy((server.getsockname(), "--udp")) as proxy:
            test(proxy, server, lambda data: caller.sendto(data, proxy.links[0]), caller)

    run.__name__ = test.__name__
    return run


@with_udp
def test_datagrams_pass_both_ways(_, server, send, caller):
    send(b"ask")
    data, back = server.recvfrom(2000)
    assert data == b"ask"
    server.sendto(b"answer", back)
    assert caller.recv(2000) == b"answer"


@with_udp
def test_datagrams_are_dropped_and_duplicated(proxy, server, send, _):
    drop = proxy.rule(fault="drop", times=1)
    send(b"lost")
    send(b"kept")
    assert server.recv(2000) == b"kept"
    assert proxy.hits(drop) == 1
    proxy.rule(fault="duplicate", times=1)
    send(b"twice")
    assert [server.recv(2000), server.recv(2000)] == [b"twice", b"twice"]


@with_udp
def test_datagrams_are_reordered_and_none_is_lost(proxy, server, send, _):
    proxy.rule(fault="reorder", times=1)
    send(b"1")
    send(b"2")
    assert [server.recv(2000), server.recv(2000)] == [b"2", b"1"]
    proxy.rule(fault="reorder", times=1)
    send(b"alone")
    assert server.recv(2000) == b"alone"


@with_udp
def test_a_partition_loses_datagrams(proxy, server, send, _):
    rule = proxy.rule(fault="partition", direction="to-server")
    send(b"lost")
    assert is_silent(server)
    proxy.call("DELETE", "/rules/%d" % rule)
    send(b"kept")
    assert server.recv(2000) == b"kept"


@with_udp
def test_probability_follows_the_seed(proxy, server, send, _):
    rule = proxy.rule(fault="drop", probability=0.5)
    for i in range(200):
        send(b"%d" % i)
    got = 0
    while got + proxy.hits(rule) < 200:
        if not is_silent(server):
            server.recv(2000)
            got += 1
    assert 60 < got < 140, got


@with_echo
def test_bad_rules_are_refused_and_change_nothing(proxy):
    for bad in ["", "[]", "{}", '{"fault":"explode"}', '{"fault":"drop","probability":2}',
                '{"fault":"drop","times":-1}', '{"fault":"drop","colour":1}']:
        status, problem = proxy.call("POST", "/rules", bad)
        assert status == 400 and problem["kind"] == "bad-request", (bad, status)
    assert proxy.call("GET", "/rules") == (200, [])
    assert proxy.call("DELETE", "/rules/7")[0] == 404


for name, test in list(globals().items()):
    if name.startswith("test_"):
        test()
        print("passed", name, flush=True)
