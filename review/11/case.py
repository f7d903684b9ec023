"""OWNER: a restart after a drill of the store brings back an old key map.

Two hosts of a service that is divided by key; a third one is added (planned),
and keys move to it. The store comes back from a copy some seconds old. Then
each of the first two gateways is stopped and started again in turn (planned).
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'standins-3'))

import lab as labs  # noqa: E402

DOWN_S = 1.0
COPY_AGE_S = 4.0


async def load(lab, client, gateways):
    """Sends about 150 requests a second for evenly spread keys."""
    while True:
        gateway = lab.rng.choice(gateways)
        if gateway.process is not None and \
                gateway.process.returncode is None and not gateway.leaving:
            asyncio.ensure_future(client.send(
                gateway, 'GET', '/desk/x', key=lab.rng.randrange(65536)))
        await asyncio.sleep(1 / 150)


async def ask_everywhere(lab, client, gateways, targets):
    """Asks each gateway for keys that two targets hold, if there are any."""
    fresh = targets[2]
    keys = [key for first, last, _ in fresh.held()
            for key in labs.sample(first, last)]
    shared = [key for key in keys if any(
        other is not fresh and other.fence_of(key) is not None
        for other in targets)]
    for _ in range(40):
        if keys:
            key = lab.rng.choice(shared or keys)
            await asyncio.gather(*[client.send(
                gateway, 'GET', '/desk/x', key=key) for gateway in gateways])


async def main(lab, trouble):
    store = labs.Store(lab)
    await store.open()
    document = labs.config(1, [labs.route('r1', '/desk/', 'desk')],
                           [labs.service('desk', True)])
    store.put('op/config', document)
    gateways = [labs.Gateway(lab, name, 'desk', store, domain)
                for name, domain in (('h1', 'z1'), ('h2', 'z2'), ('h3', 'z3'))]
    targets = [labs.Target(lab, g.name, 'desk', g.ports, True, work_s=0.05)
               for g in gateways]
    for gateway in gateways:
        gateway.leaving = False
    for gateway, target in zip(gateways[:2], targets[:2]):
        await gateway.start()
        await target.start()
    await labs.wait_for(
        lambda: all(t.held() for t in targets[:2]), 15, 'no keys at start')
    client = labs.Client(lab)
    traffic = asyncio.create_task(load(lab, client, gateways))
    lab.closers.append(traffic.cancel)
    await asyncio.sleep(10)   # of ordinary service
    lab.note(f'answers so far: {client.statuses}')

    lab.note('planned: a third target and its machine are added')
    await gateways[2].start()
    await targets[2].start()
    await labs.wait_for(lambda: targets[2].held(), 20, 'no keys for h3')
    moved = time.monotonic()
    await asyncio.sleep(1.0)
    if trouble:
        await store.drill(DOWN_S, COPY_AGE_S, [('op/config', document)])
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(5.0)
    lab.note(f'answers so far: {client.statuses}')
    for gateway in gateways[:2]:
        lab.note(f'planned: gateway {gateway.name} is stopped and started')
        gateway.leaving = True
        await gateway.stop()
        await asyncio.sleep(0.5)
        await gateway.start()
        await labs.wait_for(gateway.is_ready, 15, 'not ready after restart')
        gateway.leaving = False
        await asyncio.sleep(3.0)
        await ask_everywhere(lab, client, gateways, targets)
    lab.note(f'answers: {client.statuses}; '
             f'{time.monotonic() - moved:.1f} s since the keys moved')
    traffic.cancel()


labs.run(FOLDER, main)
