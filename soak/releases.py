"""Releases of engines' software and outages of all gateways, alone and around each other."""

import asyncio
import contextlib
import random

import gateways

# Alone; several in series; outages alone and with the release after, within, before and around them:
# the last one's old engines go while no gateway is running.
KINDS = ("release_one", "release_series", "outage_only", "outage_before", "outage_within",
         "outage_after", "outage_around")
SERIES = 3
STREAMS = 8  # callers with a long stream, whom an outage cuts
# Seconds.
STREAMS_RUN = (0.2, 0.6)  # before an outage
AWAY = (0.3, 1.5)  # from the kill of all gateways to their start
SETTLED = (0.2, 0.8)  # from the new engines' coming to the old ones' draining
# From the old engines' draining to their end, where streams shall outlive it. Gateways are told of the
# first before they see the second, which without would be a crash.
SERVE_ON = (0.3, 0.6)
NEAR = (0.0, 0.3)  # between an outage and a release beside it


class Releases:
    """`faults` stops and starts gateways, `engines` knows who serves."""

    def __init__(self, faults, engines, record, clock):
        self.faults, self.engines, self.record, self.clock = faults, engines, record, clock

    async def strike(self, fault, how):
        dice = random.Random(fault.pick)
        if how in ("one", "series"):
            for _ in range(SERIES if how == "series" else 1):
                await self.release(dice, fault.for_s)
            return
        taken = await self.faults.take_all()
        streams = [asyncio.ensure_future(self.faults.callers.long_stream()) for _ in range(STREAMS)]
        await asyncio.sleep(dice.uniform(*STREAMS_RUN))
        await {"only": self.outage, "before": self.outage_before_release,
               "within": self.outage_within_release, "after": self.outage_after_release,
               "around": self.outage_around_release}[how](taken, dice, fault.for_s)
        await asyncio.gather(*streams)

    async def release(self, dice, for_s):
        """Engines of a new version come; the older ones drain, serve on for a while and are gone."""
        version = await self.bring_in()
        await asyncio.sleep(dice.uniform(*SETTLED))
        with self.retired(version) as old:
            await self.drain(old)
            await asyncio.sleep(for_s)
            await self.remove(old)

    async def outage_before_release(self, taken, dice, for_s):
        async def release():
            await asyncio.sleep(dice.uniform(*NEAR))
            await self.release(dice, for_s)
        await asyncio.gather(self.outage(taken, dice), release())

    async def outage_within_release(self, taken, dice, for_s):
        with self.retired(await self.bring_in()) as old:
            await self.drain(old)
            await self.outage(taken, dice)
            await asyncio.sleep(for_s)
            await self.remove(old)

    async def outage_after_release(self, taken, dice, _for_s):
        with self.retired(await self.bring_in()) as old:
            await self.drain(old)
            await asyncio.sleep(dice.uniform(*SERVE_ON))
            await self.remove(old)
        await asyncio.sleep(dice.uniform(*NEAR))
        await self.outage(taken, dice)

    async def outage_around_release(self, taken, dice, _for_s):
        with self.retired(await self.bring_in()) as old:
            await self.outage(taken, dice, meanwhile=self.remove(old))

    async def outage(self, taken, dice, _for_s=0, meanwhile=None):
        """All gateways are killed at once, and started again after a while."""
        away = dice.uniform(*AWAY)
        with contextlib.ExitStack() as struck:
            for gateway in taken:
                struck.enter_context(self.faults.struck(gateway, "kill"))
            self.record.outages.append(self.clock())
            for gateway in taken:
                gateway.signal(gateways.KILL)
            await asyncio.gather(*(asyncio.to_thread(g.process.wait) for g in taken))
            start_at = self.clock() + away
            if meanwhile:
                await meanwhile
            await asyncio.sleep(max(0, start_at - self.clock()))
            for gateway in taken:
                gateway.start()
            await asyncio.gather(*(asyncio.to_thread(g.await_ready) for g in taken))

    async def bring_in(self):
        """Engines of a new version, as many as faults strike, and from then on those."""
        self.engines.newest += 1
        version = f"v{self.engines.newest}"
        joined = [await self.engines.join(version) for _ in self.engines.places]
        if self.engines.newest == int(version.lstrip("v")):  # no later release has begun meanwhile
            self.engines.places = joined
        self.record.releases.append(version)
        return version

    @contextlib.contextmanager
    def retired(self, version):
        """The engines of older versions, which are in nobody else's hands from here on."""
        def number(name):
            return int(name.lstrip("v"))
        trouble = self.faults.trouble("engine", version)
        serving = self.engines.version_of
        old = [index for index, name in serving.items() if number(name) < number(version)]
        for index in old:
            del serving[index]
        yield old
        trouble.ended = self.clock() + 1

    async def drain(self, old):
        for index in old:
            await self.engines.drain(index)

    async def remove(self, old):
        for index in old:
            self.engines.gone.add(index)
            await self.engines.do("engine", index=index, act="leave")
