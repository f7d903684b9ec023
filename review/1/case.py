"""A change of the key map whose answer was lost is carried out by the store
some seconds later, when the target that it took the keys from is back."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                '..', 'standins'))

import asyncio
import time

import world as w


async def scenario(world):
    for i in range(4):
        world.add_host('pack-desk', True, 0.1 + i * w.HEARTBEAT_S / 4)
    await world.start()
    await world.wait_until(world.all_keys_held, 20, 'all keys are held')
    world.start_clients(15)
    await asyncio.sleep(2)
    first = world.hosts[0]
    store = world.store
    if w.TROUBLE:
        await trouble(world, first, store)
    else:
        await asyncio.sleep(8)
    await asyncio.sleep(3)


async def trouble(world, first, store):
    def lose(host, body):
        if host == first.name and any(row['key'].startswith('apricot/keys/')
                                      for row in body.get('writes', [])):
            store.lose = None   # this change only
            world.record(f'store: the change {[r["key"] for r in body["writes"]]} '
                         f'of {host} gets no answer')
            return True
        return False

    # 1. The target beside the first gateway crashes. The gateway gives its
    # keys to others; the store's answer is lost.
    writes = store.writes
    store.lose = lose
    first.target.crash()
    await world.wait_until(lambda: store.late, 6, 'a change is lost')
    # 2. The gateway is killed and starts again.
    await asyncio.sleep(0.2)
    first.kill()
    await asyncio.sleep(0.5)
    first.start()
    # The target starts again and is granted keys.
    await first.target.start()
    await world.wait_until(
        lambda: first.target.rows and
        time.monotonic() < first.target.expiry, 4.5, 'the target holds keys')
    # The store carries the change out, 1 to 6 s after it arrived.
    await first.target.renewed.wait()
    await asyncio.sleep(0.03)
    age = time.monotonic() - store.late[0][2]
    if not 1 <= age <= 6:
        raise w.CannotRun(f'the late change is {age:.1f} s old')
    world.record(f'store: 1 of {store.writes - writes} writes was lost')
    store.apply_late()


w.run_case(__file__, scenario)
