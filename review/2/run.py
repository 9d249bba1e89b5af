"""Store machines lose their disks one after the other while large turns are kept."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
import bench

# One input is about 40,000 tokens at 4 bytes a token; the engines hold 211,374.
INPUT_BYTES = int(os.environ.get("INPUT_BYTES", 160_000))
TURNS = 160
# Down for 2 s, as `after_ack_wipe` in the site file. Then the core is stable again after
# `contact_ms` (3.0 s), and from then on the machine has `catch_up_s` (4.3 s), and some more.
DOWN_S, WHOLE_AGAIN_S = 2.0, 8.0


def events(ident, _body):
    return [f"{ident}-{n}" for n in range(1, 4)]


async def case(d, trouble):
    # Programs of one turn each, all of them answered whole.
    ended = {}

    async def begin(n):
        ident = f"{n:016x}"
        answer = await d.send(
            ident, b"x" * INPUT_BYTES, program=f"p{n}", budget=300, usage="40000,30", entry=n % 2
        )
        if answer.is_whole:
            ended[ident] = n, d.record.now()

    for first in range(0, TURNS, 4):
        await asyncio.gather(*(begin(n) for n in range(first, first + 4)))
    if len(ended) < TURNS * 0.9:
        raise bench.CannotRun(f"only {len(ended)} of {TURNS} turns were answered whole")
    await asyncio.sleep(2)
    for keeper in d.keepers:
        if trouble:
            keeper.wipe()
            await asyncio.sleep(DOWN_S)
            keeper.start()
        await asyncio.sleep(WHOLE_AGAIN_S)
        members = ", ".join(f"{m['name']}{'' if m['active'] else '?'}" for m in d.members())
        d.record.line(f"members  {members}")
    # Each program goes on from its first turn; retention_s is 60 s.
    asked = gone = 0
    for ident, (n, at) in list(ended.items())[::16]:
        for attempt in range(3):
            if d.record.now() - at > 59:
                break
            answer = await d.send(
                f"f{n:014x}{attempt}", b"and then?", previous=ident, program=f"p{n}",
                budget=300, usage="40100,30", entry=n % 2,
            )
            if answer.status != 503:
                asked += 1
                gone += answer.status in (404, 410)
                break
            await asyncio.sleep(0.3)
    d.record.line(f"{asked} kept turns were asked for; {gone} got 404 or 410")
    if asked == 0:
        raise bench.CannotRun("no kept turn got another answer than 503 within retention_s")
    return gone == 0


bench.run(FOLDER, events, case)
