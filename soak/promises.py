"""The promises that a soak run checks, over its record. Each check yields a line for
each break, with the id that leads to it."""

import collections

import teams

# Seconds. An engine that is closed gets nothing new after DRAIN, a configuration is in force after
# CONFIG, an ended job stops after CANCEL; SETTLE is what a process or the store may need to
# be itself again after trouble, LATE how long after its deadline an answer may still come.
DRAIN, CONFIG, CANCEL, SETTLE, LATE = 2.0, 2.0, 3.0, 3.0, 0.7
# KNOWN seconds after a request has crashed its third engine, all gateways know of it: no more than
# MAY_RETRY attempts reach an engine then.
KNOWN, MAY_RETRY = 3.0, 3
# For a part of prompts, of which no two requests are alike, after its fifth engine.
PART, CRASHES_OF_A_PART = "part", 5
# Share of the requests that are served while most new connections go to one gateway, and from how
# many on it counts.
SERVED_IN_SKEW, MANY_IN_SKEW = 0.75, 20
NOT_RUN = (408, 421, 429, 503)
DEADLINE = 3.0  # seconds; an item's run without progress ends sooner, an online request has its own
MEMORY_KB = 160 << 10  # of the smallest hosts
MANY = 12  # resumed streams, from which on their share counts
TRIES = 2  # of a stream, which count: one that was lost is tried again and again
GATEWAY_TROUBLE = ("kill", "pause", "leave", "link")


class RunsOfRequests:
    """Which request a run belongs to: attempts of one caller may have the same id."""

    def __init__(self, record):
        self.requests, self.runs = collections.defaultdict(list), collections.defaultdict(list)
        for request in record.requests:
            self.requests[request.id].append(request)
        for run in record.runs:
            self.runs[run["id"]].append(run)

    def of(self, run):
        """The last attempt that was sent before; None: it is no request's."""
        sent = [request for request in self.requests[run["id"]] if request.sent_at <= run["at"]]
        return max(sent, key=lambda request: request.sent_at, default=None)

    def has_run(self, request):
        return any(self.of(run) is request for run in self.runs[request.id])


def first_tries(record):
    """All requests but further tries of streams that were resumed TRIES times."""
    tries = collections.Counter()
    for request in record.requests:
        tries[request.stream] += request.kind == "resumed"
        if request.kind != "resumed" or tries[request.stream] <= TRIES:
            yield request


def whole_and_own(record):
    for request in record.requests:
        if request.status != 200:
            continue
        if request.whole and request.got != request.expected:
            yield f"{request.id}: an answer that ended whole is not: {request.got!r:.80}"
        if request.kind != "idempotent":
            if request.got != request.expected[:len(request.got)]:
                yield f"{request.id}: events are missing, doubled or out of order: {request.got}"
            for data in request.data:
                if not data.startswith(request.stream + "-"):
                    yield f"{request.id}: got an event of another request: {data}"


def version_of(data):
    """Software version of the engine that made an event, as its data tells."""
    return data.partition("@")[2]


def streams_keep_their_version(record):
    versions = collections.defaultdict(set)
    for request in record.requests:
        versions[request.stream].update(version_of(data) for data in request.data)
    for stream, seen in versions.items():
        if len(seen) > 1:
            yield f"{stream}: holds events of versions {sorted(seen)}"


def streams_are_in_order(record):
    """All events of a stream over its attempts, as one output: none is missing or doubled, and it
    ends as whole after the last one only."""
    attempts = collections.defaultdict(list)
    for request in record.requests:
        if request.kind in ("resumable", "resumed") and request.status == 200:
            attempts[request.stream].append(request)
    for stream, requests in attempts.items():
        requests.sort(key=lambda request: request.sent_at)
        numbers = [n for request in requests for n in request.got]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{stream}: its events over {len(requests)} attempts are {numbers}"
        data = [each.partition("@")[0] for request in requests for each in request.data]
        if data != [f"{stream}-{n}" for n in range(1, len(data) + 1)]:
            yield f"{stream}: the data of its events over {len(requests)} attempts are {data}"
        whole = [request for request in requests if request.whole]
        first = next((request for request in requests if request.kind == "resumable"), None)
        if whole and first and (whole[0] is not requests[-1] or len(numbers) != len(first.expected)):
            yield f"{stream}: ended as whole after {len(numbers)} of {len(first.expected)} events"


def resumed_streams_go_on(record):
    """Of those whose gateway and engines were well; of new streams half as many may fail."""
    def calm(request):
        return not record.in_trouble(request.sent_at - SETTLE, request.ended_at,
                                     gateway=request.gateway, kinds=("engine", "link", "kill"))

    def share_begun(kind):
        requests = [request for request in first_tries(record)
                    if request.kind == kind and calm(request)]
        return len(requests), sum(bool(request.got) for request in requests)
    resumed, went_on = share_begun("resumed")
    new, begun = share_begun("resumable")
    if resumed >= MANY and new and went_on / resumed < begun / new / 2:
        yield f"{went_on} of {resumed} resumed streams went on, {begun} of {new} new ones began"


def once(record):
    runs = collections.Counter(run["id"] for run in record.runs)
    for request in record.requests:
        if request.kind == "once" and runs[request.id] > 1:
            yield f"{request.id}: may not be repeated and ran {runs[request.id]} times"


def not_run_is_true(record):
    ran = {run["id"] for run in record.runs}
    for request in record.requests:
        said = request.status in NOT_RUN or request.ran == "no"
        if said and request.kind == "once" and request.id in ran:
            yield f"{request.id}: status {request.status}, ran '{request.ran}', and it ran"
    for job in record.jobs:
        if job.statuses and all(status in NOT_RUN for status in job.statuses):
            for item in ran & job.outputs.keys():
                yield f"{item}: its job was refused at every attempt, and it ran"


def answered_in_time(record):
    for request in record.requests:
        took = request.ended_at - request.sent_at
        excused = record.in_trouble(request.sent_at, request.ended_at, gateway=request.gateway)
        if took > request.deadline + LATE and not excused:
            yield f"{request.id}: held for {took:.2f} s with {request.deadline} s to live"


def shutdown_cuts_nothing(record):
    runs = RunsOfRequests(record)
    leaves = [trouble for trouble in record.troubles if trouble.what == "leave"]
    for request in record.requests:
        planned = any(leave.target == request.gateway
                      and leave.touches(request.sent_at, request.ended_at) for leave in leaves)
        others = [t for t in record.troubles if t.what != "leave"
                  and t.touches(request.sent_at - SETTLE, request.ended_at)]
        cut = not request.whole and (request.status == 200 or runs.has_run(request))
        if planned and cut and not others:
            yield f"{request.id}: cut by the shutdown of {request.gateway}"


def is_whole(output, expected):
    """Whether it is the expected output as one version, whichever, writes it."""
    if output is None or expected is None:
        return output == expected
    lines = output.split("\n")
    return (len({version_of(line) for line in lines}) == 1
            and [line.partition("@")[0] for line in lines] == expected.split("\n"))


def items_exactly_once(record):
    for job in record.jobs:
        listed = {}  # position -> result
        for first, results in job.reads:
            for position, result in enumerate(results, first):
                if listed.setdefault(position, result) != result:
                    yield f"{job.id}: position {position} has changed"
        ids = [result["id"] for result in listed.values()]
        for item, count in collections.Counter(ids).items():
            if count > 1:
                yield f"{item}: listed {count} times"
        for result in listed.values():
            output = job.outputs.get(result["id"], "")
            if result["state"] == "complete" and not is_whole(result["output"], output):
                yield f"{result['id']}: its output is not whole, or of two versions"
            if result["state"] == "dead" and output is not None and not job.end_asked:
                yield f"{result['id']}: given up though it can be done"
        if job.accepted and not job.end_asked and len(set(ids)) != len(job.outputs):
            yield f"{job.id}: {len(set(ids))} of {len(job.outputs)} items of an accepted job listed"


def ended_jobs_stop(record):
    for job in record.jobs:
        if job.ended_at is None:
            continue
        for run in record.runs:
            late = run["id"] in job.outputs and run["at"] > job.ended_at + CANCEL
            # Trouble that was over before the item was sent is no excuse.
            if late and not record.in_trouble(run["at"] - SETTLE, run["at"], kinds=GATEWAY_TROUBLE):
                yield f"{run['id']}: ran {run['at'] - job.ended_at:.1f} s after its job's end"


def closed_engines_rest(record):
    # Whoever took a request sent it on, so that only its own trouble excuses it. The
    # gateway that sent an item is not known.
    requests = RunsOfRequests(record)
    for run in record.runs:
        for closed in record.closed:
            since = run["at"] - closed.begun
            if closed.engine != run["engine"] or since <= DRAIN or run["at"] > closed.ended:
                continue
            request = requests.of(run)
            gateway = request and request.gateway
            if not record.in_trouble(run["at"] - DRAIN - SETTLE, run["at"], gateway=gateway,
                                     kinds=None if gateway else GATEWAY_TROUBLE):
                yield f"{run['id']}: reached {run['engine']} {since:.1f} s after {closed.why}"


def configuration_is_in_force(record):
    seen = set()  # (process, route): it has served the route
    for probe in record.probes:
        if probe.status == 200:
            seen.add((probe.process, probe.route))
        if probe.status != 404:
            continue
        if (probe.process, probe.route) in seen:
            yield f"{probe.gateway}: went back to a configuration without /{probe.route}/"
        accepted = record.routes[probe.route]
        late = probe.sent_at > accepted + CONFIG
        if late and not record.in_trouble(accepted - SETTLE, probe.sent_at, gateway=probe.gateway):
            yield (f"{probe.gateway}: no /{probe.route}/ {probe.sent_at - accepted:.1f} s after the "
                   "configuration")


def crashing_requests_are_kept_away(record):
    by_request = collections.defaultdict(list)
    for run in record.runs:
        if run["id"] in record.crashing:
            by_request[record.crashing[run["id"]][0]].append(run)
    for request, runs in by_request.items():
        allowed = CRASHES_OF_A_PART if request.startswith(PART) else 3
        crashed = sorted(run["ended"] for run in runs if run["crashed"])
        if len(crashed) < allowed:
            continue
        late = [run for run in runs if run["at"] > crashed[allowed - 1] + KNOWN and not record.in_trouble(
            run["at"] - SETTLE, run["at"], gateway=record.crashing[run["id"]][1])]
        if len(late) > MAY_RETRY:
            yield (f"{request}: {len(late)} attempts reached engines later than {KNOWN} s after it "
                   f"had crashed {allowed}; {len(crashed)} crashed")


def callers_are_served_while_connections_are_skewed(record):
    for skew in record.skews:
        counted = [request for request in first_tries(record)
                   if skew.begun + SETTLE <= request.sent_at <= skew.ended
                   and not record.in_trouble(request.sent_at - SETTLE, request.ended_at,
                                             gateway=request.gateway, kinds=("engine", "link"))]
        served = sum(request.whole and request.status == 200 for request in counted)
        if len(counted) >= MANY_IN_SKEW and served < SERVED_IN_SKEW * len(counted):
            yield (f"{skew.gateway}: {served} of {len(counted)} requests served while most new "
                   "connections went there")


def noise_is_bounded(record):
    """Answers without end are left in time, and fill nobody's memory."""
    requests = RunsOfRequests(record)
    for run in record.runs:
        if not run.get("endless") or run["ended"] is None:
            continue
        took, request = run["ended"] - run["at"], requests.of(run)
        allowed = (request.deadline if request else DEADLINE) + LATE
        if took > allowed and not record.in_trouble(run["at"], run["ended"], kinds=GATEWAY_TROUBLE):
            yield f"{run['id']}: bytes without end were read for {took:.1f} s"
    for gateway, size in record.memory_kb.items():
        if size > MEMORY_KB:
            yield f"{gateway}: {size} kB in memory"


def all_is_well_again(record):
    if not record.all_ready:
        yield "not all gateways were ready again"
    served = sum(status == 200 for status in record.final)
    if served < 0.95 * len(record.final):
        yield f"{served} of {len(record.final)} requests served after all had healed"


ALL = (whole_and_own, streams_keep_their_version, streams_are_in_order, resumed_streams_go_on, once,
       not_run_is_true, answered_in_time, shutdown_cuts_nothing,
       items_exactly_once, ended_jobs_stop, closed_engines_rest, configuration_is_in_force,
       crashing_requests_are_kept_away, callers_are_served_while_connections_are_skewed, noise_is_bounded, all_is_well_again, *teams.PROMISES)


def broken(record):
    """All breaks, by the name of the promise."""
    return [f"{check.__name__}: {line}" for check in ALL for line in check(record)]
