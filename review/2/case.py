"""A gateway that has just started acknowledges that its target leaves, and
forgets it; a late heartbeat makes it send work there until the target ends."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                '..', 'standins'))

import asyncio
import time

import world as w

DRAIN_S = 2.0           # drainS
STABLE_WINDOW_S = 3.0   # stableWindowS
STAYS_S = 6.0           # drainS "and a little longer (at times many seconds)"
LATE_S = 2.5            # a heartbeat "may arrive seconds late"


async def scenario(world):
    for i in range(4):
        world.add_host('cell-bench', False, 0.1 + i * w.HEARTBEAT_S / 4)
    await world.start()
    await asyncio.sleep(6)
    world.start_clients(25)
    await asyncio.sleep(2)
    host = world.hosts[0]
    # The gateway of the first machine is stopped as planned and starts again.
    await world.stop_and_start(host)
    started = time.monotonic()
    target = host.target
    if w.TROUBLE:
        # The next heartbeat is held up on its way; the target gives it up.
        late = await target.delayed_beat(LATE_S)
    else:
        await world.wait_until(target.acknowledged.is_set, 3,
                               'a heartbeat is acknowledged')
    await asyncio.sleep(0.3)
    # The target leaves: it deregisters, serves on, and ends.
    left = await target.deregister()
    if left is None:
        raise w.CannotRun('the deregistration was not acknowledged')
    bound = max(left + DRAIN_S, started + STABLE_WINDOW_S)
    world.drain_bound = (target.id, bound)
    await asyncio.sleep(STAYS_S)
    if w.TROUBLE:
        await late
    running = world.check_lost(target)
    target.crash()
    await asyncio.sleep(1.5)
    lost = [request_id for request_id in running
            if world.sent[request_id][0] == 'POST']
    world.record(f'{len(lost)} of these may run once only; their answers: '
                 f'{[world.answers.get(request_id) for request_id in lost]}')


w.run_case(__file__, scenario)
