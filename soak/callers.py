"""Callers of a soak run. They keep their connections open until the process is gone, and
write down what they got."""

import asyncio
import dataclasses
import json
import random

import gateways
import teams
from record import Job, Probe, Request

DEADLINE = 3.0   # seconds, of an online request
LONG_DEADLINE = 9.0
ROUTE_TIMEOUT = 5.0  # seconds that a request has at most, whatever its caller allows
# What a caller's Deadline-Ms says in each of its attempts: the same, what is left of its patience,
# more than the route's timeout, or nothing, as there is none.
DEADLINES = ("full", "counted", "long", "none")
PATIENCE = (3.0, 8.0)  # seconds for which a caller goes on trying
RESUME_PAUSE = 0.2  # seconds between its attempts
LONG_STREAM = (250, 400)  # events
ATTEMPTS = 4     # to submit a job
# Parts of prompts that all callers share, and of which each request has one.
SYSTEM, SUBJECTS = "5c1e07a2", ("91bd3f06", "77aa0e11", "0c4419be")
SKEWED = 0.9  # share of the new connections that go to one gateway while they are skewed
PATHS = {"resumable": "/notes/1", "once": "/flags/1", "idempotent": "/photos/1"}


@dataclasses.dataclass
class Habits:
    """How one caller of an answer behaves in all its attempts."""
    deadline: str  # one of DEADLINES
    same_id: bool  # it re-uses its Request-Id and doesn't send Resumes
    patient_until: float

    def deadline_s(self, now):
        """What it sends as Deadline-Ms, in seconds; None: no such header."""
        left = max(0.001, self.patient_until - now)
        return {"full": DEADLINE, "counted": left, "long": LONG_DEADLINE, "none": None}[self.deadline]


class Callers:
    def __init__(self, fleet, record, seed, clock):
        self.fleet, self.record, self.clock = fleet, record, clock
        self.dice = random.Random(seed ^ 0x5EED)
        # A source of their own: what the other one draws stays the same.
        self.habits_dice = random.Random(f"habits {seed}")
        self.open = True
        self.submitting = True
        self.numbers = 0
        self.favoured = None  # the gateway to which most new connections go

    def number(self):
        self.numbers += 1
        return self.numbers

    def gateway(self):
        if self.favoured and self.dice.random() < SKEWED:
            return self.favoured
        return self.dice.choice(self.fleet.gateways)

    def habits(self):
        dice = self.habits_dice
        return Habits(dice.choice(DEADLINES), dice.random() < 0.5,
                      self.clock() + dice.uniform(*PATIENCE))

    def prompt(self):
        return self.prompt_with(self.dice.choice(SUBJECTS))

    def prompt_with(self, part):
        return f"{SYSTEM}:100,{part}:50,{self.number():x}:10"

    async def online(self):
        """One caller: a request after another on its connection, at another gateway when it
        breaks or is asked to go."""
        while self.open:
            gateway = self.gateway()
            connection = gateways.Connection(gateway.callers)
            for _ in range(1 if self.favoured else self.dice.randint(5, 40)):
                habits = self.habits()
                request = await self.ask(connection, gateway, habits=habits)
                if not request.whole:
                    await self.resume(request, habits)
                    break
                if not self.open or connection.writer is None:
                    break
                await asyncio.sleep(self.dice.uniform(0, 0.1))
            connection.close()
            await asyncio.sleep(0.05)

    async def long_stream(self):
        """One caller of a stream that takes a second or more."""
        gateway, habits = self.gateway(), self.habits()
        connection = gateways.Connection(gateway.callers)
        tokens = self.habits_dice.randint(*LONG_STREAM)
        await self.resume(await self.ask(connection, gateway, "resumable", habits, tokens), habits)
        connection.close()

    async def ask(self, connection, gateway, kind=None, habits=None, tokens=None):
        kind, habits = kind or self.dice.choice(tuple(PATHS)), habits or self.habits()
        name, tokens = f"{kind[0]}{self.number()}", tokens or self.dice.randint(3, 40)
        expected = (f"answer to {name}" if kind == "idempotent" else list(range(1, tokens + 1)))
        request = Request(name, kind, gateway.name, self.clock(), ROUTE_TIMEOUT, expected)
        return await self.send(connection, request, PATHS[kind], tokens, habits)

    async def resume(self, cut, habits):
        """Resumes a stream that was cut after some events, each time at any gateway, until it is
        whole or its caller's patience is over."""
        if cut.kind != "resumable" or not cut.got or cut.whole:
            return
        last, tokens = cut.got[-1], cut.expected[-1]
        while self.open and self.clock() < habits.patient_until:
            gateway = self.gateway()
            name = cut.id if habits.same_id else f"a{self.number()}"
            request = Request(name, "resumed", gateway.name, self.clock(), ROUTE_TIMEOUT,
                              list(range(last + 1, tokens + 1)), began=cut.stream)
            headers = {"Last-Event-Id": last} | ({} if habits.same_id else {"Resumes": cut.stream})
            connection = gateways.Connection(gateway.callers)
            await self.send(connection, request, PATHS["resumable"], tokens, habits, headers)
            connection.close()
            if request.status == 200 and request.whole:
                return
            last = request.got[-1] if request.got else last
            await asyncio.sleep(RESUME_PAUSE)

    async def send(self, connection, request, path, tokens, habits, more=None):
        headers = {"Request-Id": request.id, "Model": "m", "Tokens": f"10,{tokens}",
                   "Prompt-Prefix": self.prompt()} | teams.AUTHORIZATION | (more or {})
        deadline = habits.deadline_s(self.clock())
        if deadline is not None:
            headers["Deadline-Ms"] = int(deadline * 1000)
            request.deadline = min(deadline, ROUTE_TIMEOUT)
        # The same in all attempts of a stream, and in no other caller's: a request is known by it.
        body = request.stream.encode()
        answer = await connection.request("POST", path, headers, body, timeout=request.deadline + 3)
        request.ended_at = self.clock()
        request.status, request.whole = answer.status, answer.whole
        if answer.status == 200 and request.kind == "idempotent":
            request.got = answer.body.decode()
        elif answer.status == 200:
            request.got = answer.events()
            request.data = answer.data()
        elif answer.body:
            try:
                request.ran = json.loads(answer.body).get("ran", "")
            except ValueError:
                request.ran = ""  # cut on its way; its status stands
        self.record.requests.append(request)
        return request

    async def call(self, gateway, method, path, body=None, headers=None, timeout=4):
        """Status and body; 0 when there was no answer."""
        try:
            status, _, answer = await asyncio.to_thread(
                gateways.call, gateway.callers, method, path, body,
                teams.AUTHORIZATION | (headers or {}), timeout)
            return status, answer
        except (OSError, gateways.http.client.HTTPException):
            return 0, b""

    async def jobs(self):
        followers = []
        while self.submitting:
            followers.append(asyncio.ensure_future(self.one_job()))
            await asyncio.sleep(self.dice.uniform(0.3, 1.2))
        await asyncio.gather(*followers)

    async def one_job(self, end_after=None):
        """It is ended so many seconds after it was accepted; None: at random, or not at all."""
        name, count, tokens = f"j{self.number()}", self.dice.randint(2, 8), self.dice.randint(5, 120)
        poison = {self.dice.randrange(count)} if self.dice.random() < 0.3 else set()
        outputs = {}
        for n in range(count):
            item = f"poison-{name}-{n}" if n in poison else f"{name}-{n}"
            outputs[item] = None if n in poison else gateways.output_of(item, tokens)
        job = Job(name, outputs)
        self.record.jobs.append(job)
        body = gateways.job(name, count, tokens, poison)
        for _ in range(ATTEMPTS):
            status, _ = await self.call(self.gateway(), "POST", f"/reports/{name}", body,
                                        {"Request-Id": name, "Content-Type": "application/json"})
            job.statuses.append(status)
            if status == 202:
                break
            await asyncio.sleep(0.3)
        if end_after is None and self.dice.random() < 0.2:
            end_after = self.dice.uniform(0, 1)
        if job.accepted and end_after is not None:
            await asyncio.sleep(end_after)
            job.end_asked = True
            status, _ = await self.call(self.gateway(), "DELETE", f"/-/lots/{name}")
            if status == 200:
                job.ended_at = self.clock()
        while self.open and job.accepted:
            await self.read(job, self.dice.choice((0, 0, 1, count)))
            await self.read_as_another_team(job)
            await asyncio.sleep(0.5)

    async def read_as_another_team(self, job):
        status, _ = await self.call(self.gateway(), "GET", f"/-/lots/{job.id}?after=0",
                                    headers={"Authorization": f"Bearer {teams.LIMITED['hot']}"})
        self.record.foreign_reads.append((job.id, status))

    async def read(self, job, after):
        status, body = await self.call(self.gateway(), "GET", f"/-/lots/{job.id}?after={after}")
        if status != 200:
            return 0
        results = json.loads(body)["results"]
        job.reads.append((after, results))
        return len(results)

    async def read_all(self, job):
        position = 0
        while count := await self.read(job, position):
            position += count
        return position

    async def probes(self):
        while self.open:
            for gateway in self.fleet.gateways:
                for name in list(self.record.routes):
                    sent_at, process = self.clock(), gateway.process.pid
                    status, _ = await self.call(gateway, "POST", f"/{name}/1",
                                                headers={"Request-Id": f"probe{self.number()}"},
                                                timeout=1)
                    self.record.probes.append(Probe(name, gateway.name, process, sent_at, status))
            await asyncio.sleep(0.25)
