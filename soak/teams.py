"""Teams of a soak run: their keys, callers that press on a limit or go on with a key that was taken
away, and the promises about them."""

import asyncio
import collections

import gateways
from gateways import wait_for
from record import TeamRequest

# Seconds: a key that was taken away works nowhere after REVOKE; a limit holds in each WINDOW.
REVOKE, WINDOW = 2.0, 5.0
RATE, BURST, EXCESS, SLACK = 20, 10, 0.1, 20
OPTIONS = ("--strict-revocation=true", f"--revoke-within-ms={int(REVOKE * 1000)}")
KINDS = ("revoke_key", "hot_team")
KEY = "ryekey1234"
# Teams with a limit; the ids of their requests begin with the team's name.
LIMITED = {"hot": "hotkey1234", "warm": "warmkey1234"}
AUTHORIZATION = {"Authorization": f"Bearer {KEY}"}
HOT_CALLERS = 8
PAUSE = 0.05  # seconds between requests with a key that is taken away


def configuration(spare_keys=()):
    limited = [{"name": name, "apiKeys": [key], "ratePerS": RATE, "burst": BURST}
               for name, key in LIMITED.items()]
    return [{"name": "rye", "apiKeys": [KEY, *spare_keys]}, *limited]


def begin(fleet):
    """Has callers need keys, at all gateways."""
    fleet.world.do("configure", teams=configuration())
    for gateway in fleet.gateways:
        wait_for(f"{gateway.name} asks for keys",
                 lambda g=gateway: gateways.call(g.callers, "POST", "/photos/1")[0] == 401)


class TeamFaults:
    def __init__(self, fleet, do, record, clock):
        self.fleet, self.do, self.record, self.clock = fleet, do, record, clock
        self.spare_keys = []

    async def ask(self, connection, gateway, key, name):
        request = TeamRequest(name, key, gateway.name, self.clock())
        self.record.team_requests.append(request)
        headers = {"Request-Id": name, "Deadline-Ms": 1000, "Authorization": f"Bearer {key}"}
        answer = await connection.request("POST", "/photos/1", headers, b"x", timeout=2)
        request.status = answer.status

    async def revoke(self, fault, _how):
        """A key is added, used, and taken away while its caller goes on."""
        key = f"spare{fault.pick}"
        self.spare_keys.append(key)
        await self.do("configure", teams=configuration(self.spare_keys))
        using = asyncio.ensure_future(self.use(key, self.clock() + fault.for_s + REVOKE + 3))
        await asyncio.sleep(fault.for_s)
        self.spare_keys.remove(key)
        await self.do("configure", teams=configuration(self.spare_keys))
        self.record.revoked[key] = self.clock()
        await using

    async def use(self, key, end):
        connections = [(gateway, gateways.Connection(gateway.callers))
                       for gateway in self.fleet.gateways]
        number = 0
        while self.clock() < end:
            for gateway, connection in connections:
                number += 1
                await self.ask(connection, gateway, key, f"{key}-{number}")
            await asyncio.sleep(PAUSE)

    async def press(self, fault, how):
        """A team that sends as fast as it can, at all gateways; or all limited ones at once."""
        names = LIMITED if how == "all" else ("hot",)
        await asyncio.gather(*(self.press_as(name, fault) for name in names))

    async def press_as(self, name, fault):
        end = self.clock() + fault.for_s + WINDOW

        async def caller(n):
            gateway = self.fleet.gateways[n % len(self.fleet.gateways)]
            connection, number = gateways.Connection(gateway.callers), 0
            while self.clock() < end:
                number += 1
                request = f"{name}{fault.pick}-{n}-{number}"
                await self.ask(connection, gateway, LIMITED[name], request)
                await asyncio.sleep(0.01)

        await asyncio.gather(*(caller(n) for n in range(HOT_CALLERS)))


def team_of(request_id):
    return next((name for name in LIMITED if request_id.startswith(name)), "rye")


def engines_get_the_team(record):
    for run in record.runs:
        team = team_of(run["id"])
        if run["key"] is not None or run["team"] != team:
            yield f"{run['id']}: an engine got the team {run['team']} and the key {run['key']}"


def keys_taken_away_work_nowhere(record):
    ran = {run["id"] for run in record.runs}
    for request in record.team_requests:
        revoked = record.revoked.get(request.key)
        if revoked is None or request.id not in ran:
            continue
        # While feeds tell no changes they confirm a configuration that is no longer in force.
        told = max([revoked, *(deaf.ended for deaf in record.deaf
                               if deaf.touches(revoked, request.sent_at))])
        if request.sent_at > told + REVOKE:
            yield (f"{request.id}: ran at {request.gateway} {request.sent_at - revoked:.1f} s after "
                   "its key was taken away")


def limits_hold(record):
    most = (RATE * WINDOW + BURST) * (1 + EXCESS) + SLACK
    for name in LIMITED:
        window = collections.deque()
        for moment in sorted(run["at"] for run in record.runs if team_of(run["id"]) == name):
            window.append(moment)
            while window[0] < moment - WINDOW:
                window.popleft()
            if len(window) > most:
                yield f"{len(window)} requests of {name} in {WINDOW} s, {most:.0f} are allowed"
                break


def jobs_are_their_teams(record):
    for job, status in record.foreign_reads:
        if status == 200:
            yield f"{job}: read with the key of another team"


PROMISES = (engines_get_the_team, keys_taken_away_work_nowhere, limits_hold, jobs_are_their_teams)
