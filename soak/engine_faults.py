"""Faults of engines and of their entries in the list of backend servers."""

import asyncio
import base64

import promises
from foreign import VARIANTS, bad_entry
from record import Closed

ENGINES = 4  # those that faults strike; others join while a soak runs
BEHIND_PROXY = 2  # the first of them, which are reached through the fault proxy
FOREIGN_ROWS = 5
PLAIN = ENGINES  # the first server of the plain service
# Software versions of the engines at first; those that join are of the last one that was released.
VERSIONS = ("v1", "v1", "v2", "v2")
NOISE_IN = ("head", "body", "events")  # where bytes come without end
IDS_IN = ("ids", "rising")  # ids of events without data: the same one, several
SLOW_FACTOR = 3  # of the time that a slow engine needs for an event
DRAINS = "it began to drain"


class EngineFaults:
    """`do` gives an order to the stand-in of the platform, `trouble` records one."""

    def __init__(self, do, trouble, record, clock):
        self.do, self.trouble, self.record, self.clock = do, trouble, record, clock
        self.gone = set()  # engines that have crashed
        self.unheard = set()  # engines whose new life the store has not heard of
        self.small = False  # the plain service is left with one server
        self.foreign = {}  # engine -> how many other writers claim its entry
        self.closed = {}  # engine -> what is open in the record
        self.version_of = dict(enumerate(VERSIONS))  # of the engines that no release has retired
        self.places = list(range(ENGINES))  # the engines that faults strike at present
        self.newest = int(VERSIONS[-1].lstrip("v"))

    def struck_by(self, fault):
        return self.places[fault.pick % ENGINES]

    async def join(self, version=None):
        """Another engine comes, of the newest version unless told otherwise."""
        version = version or f"v{self.newest}"
        joined = await self.do("add", service="llm", version=version, zone=len(self.version_of))
        self.version_of[joined["index"]] = version
        return joined["index"]

    async def drain(self, index):
        if not self.drains(index):
            self.reopen(index)  # its word replaces that of another writer
        drained = await self.do("engine", index=index, act="drain")
        self.close(index, drained["id"], DRAINS)

    async def strike(self, fault, how):
        if how == "few":
            return await self.leave_one_server(fault)
        place, index = fault.pick % ENGINES, self.struck_by(fault)
        trouble = self.trouble("engine", str(index))
        if how == "sick":
            await self.do("engine", index=index, cut=0.3, extra=0.3)
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, cut=0.0, extra=0.0)
        elif how == "unframed":  # and some of its answers end early, which only their text shows
            # Behind the fault proxy a reset arrives as an end.
            index = self.places[BEHIND_PROXY + fault.pick % (ENGINES - BEHIND_PROXY)]
            await self.do("engine", index=index, unframed=0.5, cut=0.2)
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, unframed=0.0, cut=0.0)
        elif how == "endless":
            where = NOISE_IN[fault.pick // 7 % len(NOISE_IN)]
            await self.do("engine", index=index, endless=0.3, endless_in=where)
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, endless=0.0)
        elif how == "heads":  # answers that stop inside their heads
            await self.do("engine", index=index, cut_head=0.3)
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, cut_head=0.0)
        elif how == "ids":
            where = IDS_IN[fault.pick // 7 % len(IDS_IN)]
            await self.do("engine", index=index, endless=0.3, endless_in=where)
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, endless=0.0)
        elif how == "slow":
            await self.do("engine", index=index, slowdown=SLOW_FACTOR)
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, slowdown=1)
        elif how == "crash" and place == 3:  # one of the four may go; another one comes
            self.gone.add(index)
            await self.do("engine", index=index, act="crash")
            await asyncio.sleep(fault.for_s)
            await self.do("engine", index=index, act="leave")
            self.version_of.pop(index, None)
            await self.join()
        elif how == "drain" and place == 2 and index not in self.unheard:
            await self.drain(index)
            await self.join()
        trouble.ended = self.clock() + 1

    async def leave_one_server(self, fault):
        """All but one server of the plain service leave, and another one comes later."""
        if self.small:
            return
        self.small = True
        drained = await self.do("engine", index=PLAIN, act="drain")
        self.close(PLAIN, drained["id"], DRAINS)
        await asyncio.sleep(fault.for_s)
        await self.do("add", service="app")

    def close(self, index, engine_id, why):
        if index not in self.closed:
            self.closed[index] = Closed(engine_id, why, self.clock())
            self.record.closed.append(self.closed[index])

    def drains(self, index):
        return index in self.closed and self.closed[index].why == DRAINS

    def reopen(self, index):
        """Call it before the entry that says so can be read: from then on requests may come."""
        if index in self.closed:
            self.closed.pop(index).ended = self.clock()

    async def restart(self, fault, how):
        """An engine starts again under its id, and knows nothing of before. In the dark, its
        callers hear nothing, and the store hears of its new life only later."""
        index = self.struck_by(fault)
        if index in self.gone | self.unheard:
            return
        trouble = self.trouble("engine", str(index))
        if how == "dark":
            self.unheard.add(index)
            await self.do("engine", index=index, muted=True, act="restart_dark")
            await asyncio.sleep(fault.for_s)
            self.unheard.discard(index)
            if index not in self.gone:
                self.reopen(index)
                await self.do("engine", index=index, muted=False, act="list")
        else:
            self.reopen(index)
            await self.do("engine", index=index, act="restart")
        trouble.ended = self.clock() + 1

    async def write_foreign(self, fault, how):
        """Another writer's bytes, under the id of an engine or under ids of nobody. It excuses
        nothing: those that run there are left to end, and the others hold."""
        variants = [VARIANTS[(fault.pick // 7 + n) % len(VARIANTS)] for n in range(FOREIGN_ROWS)]
        if how == "new":
            keys = {f"foreign-{fault.pick}-{n}": variant for n, variant in enumerate(variants)}
            for key, variant in keys.items():
                await self.write_bad_entry(key, 0, variant)
            await asyncio.sleep(fault.for_s)
            for key in keys:
                await self.do("remove", table="servers", key=key)
            return
        variant = variants[0]
        index = self.struck_by(fault)
        if index in self.gone | self.unheard:
            return
        engine = await self.do("engine", index=index)
        self.foreign[index] = self.foreign.get(index, 0) + 1
        await self.write_bad_entry(engine["id"], index, variant)
        self.close(index, engine["id"], f"its entry became unreadable ({variant})")
        await asyncio.sleep(fault.for_s + 2 * promises.DRAIN)  # long enough for the check
        self.foreign[index] -= 1
        if self.foreign[index] or index in self.gone | self.unheard:
            return
        if not self.drains(index):
            self.reopen(index)
        await self.do("engine", index=index, act="list")

    async def write_bad_entry(self, key, index, variant):
        engine = await self.do("engine", index=index)
        value = base64.b64encode(bad_entry(variant, engine["port"])).decode()
        await self.do("write", table="servers", key=key, bytes=value)
