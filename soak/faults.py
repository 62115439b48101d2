"""The faults of a soak run: drawn from its seed, brought about from outside the processes."""

import asyncio
import contextlib
import dataclasses
import json
import random
import subprocess

import gateways
import releases
import teams
from engine_faults import ENGINES, EngineFaults
from promises import CONFIG, KNOWN, PART, SETTLE
from record import Skew, Trouble


@dataclasses.dataclass
class Fault:
    at: float  # seconds from the start of traffic
    kind: str
    for_s: float
    pick: int  # which gateway, engine or variant


KINDS = ("kill", "pause", "leave", "kill_all", "store_refuse", "store_silent", "store_reset",
         "store_lose", "store_late", "store_compact", "store_deaf", "engine_crash", "engine_drain",
         "engine_sick", "link_delay", "link_cut", "link_silent", "link_partition", "configure")
# Engines that start again under their id, and entries by other writers.
LIST_KINDS = ("restart_reset", "restart_dark", "foreign_own", "foreign_own", "foreign_new")
# Requests that crash what runs them.
REQUEST_KINDS = ("crashing_request",)
# Load that is uneven: limited teams that press together, a slow engine, a small plain service.
LOAD_KINDS = ("press_all", "engine_slow", "engine_few")
# Parts of prompts that crash what runs them, answers without a length, and connections of which
# most go to one gateway and then to another.
FURTHER_KINDS = ("crashing_part", "engine_unframed", "skew")
# Engines whose answers have no end, processes that are stopped before the last one is back, and jobs
# that are ended while the store is slow, so that their owners still load them.
LATE_KINDS = ("engine_endless", "leave_overlapping", "end_loading")
# Answers that stop inside their heads, events with an id and no data, and a row of the configuration
# that another writer has spoilt.
ODD_KINDS = ("engine_heads", "engine_ids", "spoil_configuration")
STOP_GAP = 0.7  # seconds between stops that overlap
STOPS = 3
STORE_SLOW = 0.25  # seconds by which the store's answers are late
ENDED_JOBS, END_AFTER = 5, 0.05
SMALL_SHARE = 0.5  # of the seeds have a gateway on a small host, which leaves its jobs to others
SMALL_HOST = ("--cores", "0.1")
ATTEMPT_PAUSE = 0.25  # seconds between their attempts
SPOILT = ("", "[" * 40_000, '{"version": 1e999, "routes": []}')  # rows of the configuration
FREE_PAUSE = 0.05  # seconds between looks whether all gateways are free


def draw(seed, seconds):
    """Some faults in series, some on top of each other."""
    dice = random.Random(seed)

    def some(kinds, count):
        return [Fault(dice.uniform(0.5, 0.8 * seconds), dice.choice(kinds),
                      dice.uniform(0.5, 3.0), dice.randrange(1 << 16)) for _ in range(count)]

    faults = some(KINDS, dice.randint(4, 9))
    # Drawn after the others: a seed of before keeps all that it had.
    faults += some(LIST_KINDS, dice.randint(2, 5))
    faults += some(REQUEST_KINDS, dice.randint(0, 2))
    faults += some(teams.KINDS, dice.randint(0, 2))
    faults += some(LOAD_KINDS, dice.randint(0, 2))
    faults += some(FURTHER_KINDS, dice.randint(0, 3))
    faults += some(LATE_KINDS, dice.randint(0, 3))
    faults += some(releases.KINDS, dice.randint(1, 3))
    faults += some(ODD_KINDS, dice.randint(0, 3))
    return sorted(faults, key=lambda fault: fault.at)


def host_options(seed):
    """Further options of the first gateway."""
    return SMALL_HOST if random.Random(f"host {seed}").random() < SMALL_SHARE else ()


class Proxy:
    """The fault proxy with a link to each address."""

    def __init__(self, build, addresses):
        arguments = [build / "figmill-fault-proxy"]
        for address in addresses:
            arguments += ["--listen", "127.0.0.1:0", "--forward", address]
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
        ready = json.loads(self.process.stdout.readline())
        self.admin, self.links = ready["admin"], ready["links"]

    def rule(self, **members):
        status, _, answer = gateways.call(self.admin, "POST", "/rules", json.dumps(members))
        assert status == 201, answer
        return json.loads(answer)["id"]

    def clear(self, rule):
        gateways.call(self.admin, "DELETE", f"/rules/{rule}")

    def stop(self):
        self.process.kill()
        self.process.wait()


class Faults:
    def __init__(self, fleet, proxy, record, clock, callers):
        self.callers = callers
        self.fleet, self.proxy, self.record, self.clock = fleet, proxy, record, clock
        self.names = []  # routes that were added
        self.followers = []  # of jobs that were ended early
        # A process that is being stopped and started isn't struck again meanwhile.
        self.busy = set()
        self.teams = teams.TeamFaults(fleet, self.do, record, clock)
        self.engines = EngineFaults(self.do, self.trouble, record, clock)
        self.releases = releases.Releases(self, self.engines, record, clock)

    def trouble(self, what, target=""):
        trouble = Trouble(what, target, self.clock())
        self.record.troubles.append(trouble)
        return trouble

    async def strike(self, fault):
        what, _, how = fault.kind.partition("_")
        await {"kill": self.kill, "pause": self.pause, "leave": self.leave, "store": self.store,
               "engine": self.engines.strike, "link": self.link, "configure": self.configure,
               "restart": self.engines.restart, "crashing": self.crashing,
               "foreign": self.engines.write_foreign, "revoke": self.teams.revoke,
               "hot": self.teams.press, "press": self.teams.press, "skew": self.skew,
               "end": self.end_jobs, "spoil": self.spoil_configuration, "release": self.releases.strike,
               "outage": self.releases.strike}[what](fault, how)

    async def do(self, order, **more):
        return await asyncio.to_thread(self.fleet.world.do, order, **more)

    def take(self, fault=None):
        """Gateways that nobody else stops at present: one for a fault, or all."""
        free = [g for g in self.fleet.gateways if g.name not in self.busy]
        if fault and free:
            free = [free[fault.pick % len(free)]]
        self.busy.update(g.name for g in free)
        return free

    async def take_all(self):
        """All gateways, once nobody else stops any."""
        while self.busy:
            await asyncio.sleep(FREE_PAUSE)
        return self.take()

    @contextlib.contextmanager
    def struck(self, gateway, what):
        """The time of trouble of a gateway that was taken."""
        trouble = self.trouble(what, gateway.name)
        yield
        trouble.ended = self.clock() + 1
        self.busy.discard(gateway.name)

    async def stop_and_start(self, gateway, what, signal):
        with self.struck(gateway, what):
            gateway.signal(signal)
            await asyncio.to_thread(gateway.process.wait)
            gateway.start()
            await asyncio.to_thread(gateway.await_ready)

    async def kill(self, fault, how):
        victims = self.take() if how == "all" else self.take(fault)
        await asyncio.gather(*(self.stop_and_start(g, "kill", gateways.KILL) for g in victims))

    async def leave(self, fault, how):
        if how == "overlapping":
            return await self.leave_in_turn()
        for gateway in self.take(fault):
            await self.stop_and_start(gateway, "leave", gateways.TERM)

    async def leave_in_turn(self):
        """Each is told to stop while the one before still leaves."""
        async def one(gateway, after):
            await asyncio.sleep(after)
            await self.stop_and_start(gateway, "leave", gateways.TERM)
        taken = self.take()[:STOPS]
        await asyncio.gather(*(one(gateway, n * STOP_GAP) for n, gateway in enumerate(taken)))

    async def end_jobs(self, fault, _how):
        """Jobs end just after they were accepted, while the store is slow."""
        trouble = self.trouble("store")
        await self.do("store", slow=STORE_SLOW)
        jobs = [asyncio.ensure_future(self.callers.one_job(END_AFTER)) for _ in range(ENDED_JOBS)]
        await asyncio.sleep(fault.for_s + 4 * STORE_SLOW)
        await self.do("store", slow=0.0)
        trouble.ended = self.clock() + 1
        self.followers += jobs

    async def pause(self, fault, _how):
        for gateway in self.take(fault):
            with self.struck(gateway, "pause"):
                gateway.signal(gateways.STOP)
                await asyncio.sleep(fault.for_s)
                gateway.signal(gateways.CONT)

    async def store(self, fault, how):
        trouble = self.trouble("store")
        if how == "compact":
            await self.do("compact")
        elif how == "deaf":
            deaf = Trouble("store", "", self.clock())
            self.record.deaf.append(deaf)
            await self.do("deaf", seconds=fault.for_s)
            deaf.ended = self.clock() + fault.for_s
            await asyncio.sleep(fault.for_s)
        elif how in ("lose", "late"):
            await self.do("store", **{how: 0.3})
            await asyncio.sleep(fault.for_s)
            await self.do("store", **{how: 0.0})
        else:
            await self.do("store", mode=how)
            await asyncio.sleep(fault.for_s)
            await self.do("store", mode="ok")
        trouble.ended = self.clock() + 1

    async def link(self, fault, how):
        link = fault.pick % len(self.proxy.links)
        to_store = link == len(self.proxy.links) - 1
        trouble = self.trouble("link", self.fleet.gateways[-1].name if to_store else "")
        members = {"delay": {"fault": "delay", "delay_ms": 300},
                   "cut": {"fault": "cut", "after_bytes": 400, "times": 5},
                   "silent": {"fault": "half-open", "after_bytes": 200, "times": 5},
                   "partition": {"fault": "partition",
                                 "direction": ("to-server", "to-caller")[fault.pick // 7 % 2]}}[how]
        rule = await asyncio.to_thread(self.proxy.rule, link=link, **members)
        await asyncio.sleep(fault.for_s)
        await asyncio.to_thread(self.proxy.clear, rule)
        trouble.ended = self.clock() + 1

    async def configure(self, _fault, _how):
        name = f"added{len(self.names)}"
        self.names.append(name)
        await self.do("configure", extra=self.names)
        self.record.routes[name] = self.clock()

    async def spoil_configuration(self, fault, _how):
        """Gateways that start meanwhile have no configuration; the others keep theirs."""
        begun = self.clock()
        await self.do("write", table="op", key="config", value=SPOILT[fault.pick % len(SPOILT)])
        await asyncio.sleep(fault.for_s)
        await self.do("configure", extra=self.names)
        # A gateway may have missed what was written just before.
        for accepted in (self.record.routes, self.record.revoked):
            for name, at in accepted.items():
                if at > begun - CONFIG:
                    accepted[name] = self.clock()

    async def crashing(self, fault, how):
        """One caller, whose request comes again and again, at any gateway; or requests that have
        nothing in common but a part of their prompts."""
        trouble = self.trouble("engine")
        end, name = self.clock() + 2 * fault.for_s + KNOWN, f"crash {fault.pick}"
        if how == "part":
            name = f"{PART} bad{fault.pick:x}"
        while self.clock() < end:
            attempt = f"c{fault.pick}-{len(self.record.crashing)}"
            gateway = self.fleet.gateways[len(self.record.crashing) % len(self.fleet.gateways)]
            self.record.crashing[attempt] = (name, gateway.name)
            headers = {"Request-Id": attempt, "Deadline-Ms": 2000, "Model": "m", "Tokens": "10,20"}
            headers |= teams.AUTHORIZATION
            body = name
            if how == "part":
                body = attempt
                headers["Prompt-Prefix"] = self.callers.prompt_with(f"bad{fault.pick:x}")
            connection = gateways.Connection(gateway.callers)
            await connection.request("POST", "/flags/1", headers, body.encode(), timeout=2)
            connection.close()
            await asyncio.sleep(ATTEMPT_PAUSE)
        trouble.ended = self.clock() + 1

    async def skew(self, fault, _how):
        """Most new connections go to one gateway, then to the next one."""
        for n in range(2):
            gateway = self.fleet.gateways[(fault.pick + n) % len(self.fleet.gateways)]
            skew = Skew(gateway.name, self.clock())
            self.record.skews.append(skew)
            self.callers.favoured = gateway
            await asyncio.sleep(fault.for_s + SETTLE)
            skew.ended = self.clock()
        self.callers.favoured = None

    async def heal(self):
        """Ends what still goes on: processes are woken and started, all else is over by itself."""
        for gateway in self.fleet.gateways:
            gateway.signal(gateways.CONT)
        await self.do("store", mode="ok", lose=0.0, late=0.0, slow=0.0)
        for index in {*range(ENGINES), *self.engines.places}:
            await self.do("engine", index=index, cut=0.0, extra=0.0, unframed=0.0, endless=0.0)
