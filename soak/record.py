"""What a soak run saw, from outside: callers' requests and jobs, engines' runs, and when
which process was in trouble. Times are seconds of the monotonic clock."""

import dataclasses


@dataclasses.dataclass
class Request:
    id: str
    kind: str  # resumable, once, idempotent, resumed
    gateway: str
    sent_at: float
    deadline: float  # seconds
    expected: object  # the ids of all events, or the whole body
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    got: object = None  # as `expected`
    data: list = dataclasses.field(default_factory=list)  # of the events
    ran: str = ""  # what a refusal says
    began: str = ""  # of a resumed stream: the id of the attempt that brought its first event

    @property
    def stream(self):
        """The same for all attempts of a stream's caller."""
        return self.began or self.id


@dataclasses.dataclass
class Job:
    id: str
    outputs: dict  # item -> its output; None for one that can never be done
    statuses: list = dataclasses.field(default_factory=list)  # of all attempts to submit it
    reads: list = dataclasses.field(default_factory=list)  # (first position, results)
    ended_at: float = None  # the end was acknowledged
    # It was asked for: without an acknowledgement it may take effect at any time, or not.
    end_asked: bool = False

    @property
    def accepted(self):
        return 202 in self.statuses


@dataclasses.dataclass
class Probe:
    """A request that only tests whether a route is in force."""
    route: str
    gateway: str
    process: int
    sent_at: float
    status: int


@dataclasses.dataclass
class TeamRequest:
    id: str
    key: str
    gateway: str
    sent_at: float
    status: int = 0


@dataclasses.dataclass
class Trouble:
    what: str    # kill, pause, leave, store, engine, link
    target: str  # name of a gateway or engine; empty for the store
    begun: float
    ended: float = float("inf")

    def touches(self, begun, ended):
        return self.begun <= ended and begun <= self.ended


@dataclasses.dataclass
class Closed:
    """While nothing new may go to an engine: it drains, or its entry can't be read."""
    engine: str  # id
    why: str
    begun: float
    ended: float = float("inf")


@dataclasses.dataclass
class Skew:
    """While most new connections go to one gateway."""
    gateway: str
    begun: float
    ended: float = float("inf")


@dataclasses.dataclass
class Record:
    requests: list = dataclasses.field(default_factory=list)
    jobs: list = dataclasses.field(default_factory=list)
    probes: list = dataclasses.field(default_factory=list)
    troubles: list = dataclasses.field(default_factory=list)
    deaf: list = dataclasses.field(default_factory=list)  # troubles: the store's feeds tell no changes
    runs: list = dataclasses.field(default_factory=list)
    closed: list = dataclasses.field(default_factory=list)
    # Attempts that crash engines: id -> (which request or part of prompts, the gateway that took it).
    crashing: dict = dataclasses.field(default_factory=dict)
    skews: list = dataclasses.field(default_factory=list)
    releases: list = dataclasses.field(default_factory=list)  # versions, in order
    outages: list = dataclasses.field(default_factory=list)  # when all gateways were killed at once
    routes: dict = dataclasses.field(default_factory=dict)   # added route -> when acknowledged
    team_requests: list = dataclasses.field(default_factory=list)
    revoked: dict = dataclasses.field(default_factory=dict)  # key -> when that was acknowledged
    # (job, status) of reads with the key of a team that didn't submit it.
    foreign_reads: list = dataclasses.field(default_factory=list)
    final: list = dataclasses.field(default_factory=list)    # statuses after all has healed
    all_ready: bool = True
    memory_kb: dict = dataclasses.field(default_factory=dict)  # gateway -> its largest size

    def in_trouble(self, begun, ended, *, gateway=None, kinds=None):
        """Whether something that may excuse it struck within this time: on this gateway, on
        the store, or of one of these kinds anywhere."""
        for trouble in self.troubles:
            if not trouble.touches(begun, ended):
                continue
            if trouble.what == "store" or (kinds and trouble.what in kinds):
                return True
            if gateway and trouble.target == gateway:
                return True
        return False
