"""CONFIG: after a drill of the store, new configurations are ignored.

The operator publishes some versions in quick succession. The store comes back
from a copy taken before them, and the operator writes the last one again. Six
seconds later the operator moves the route to another service.
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
VERSIONS = 6            # published before the drill
PUBLISH_GAP_S = 0.33
CALM_S = 6.0            # after the drill; stableWindowS is 3
WATCHED_S = 8.0         # after the acknowledgement of the last version


def document(version, service):
    """Returns a version: a route to one of the two services."""
    return labs.config(
        version, [labs.route('r1', '/a/', service,
                             timeout_s=2 + version / 100)],
        [labs.service('old', False), labs.service('new', False)])


async def main(lab, trouble):
    store = labs.Store(lab)
    await store.open()
    store.put('op/config', document(1, 'old'))
    gateways, runs = [], {}

    def on_run(target, attempt, method, path, key):
        runs[attempt] = target.service

    for index, service in enumerate(('old', 'old', 'new', 'new')):
        gateway = labs.Gateway(lab, f'h{index + 1}', service, store,
                               f'z{index % 3}')
        target = labs.Target(lab, gateway.name, service, gateway.ports, False)
        target.on_run = on_run
        await gateway.start()
        await target.start()
        gateways.append(gateway)
    client = labs.Client(lab)
    for gateway in gateways:
        await labs.wait_for(gateway.is_ready, 15, 'not ready')
    await asyncio.sleep(6)

    for version in range(2, VERSIONS + 2):
        store.put('op/config', document(version, 'old'))
        await asyncio.sleep(PUBLISH_GAP_S)
    await asyncio.sleep(1.0)
    last = ('op/config', document(VERSIONS + 1, 'old'))
    if trouble:
        await store.drill(DOWN_S, COPY_AGE_S, [last])
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(CALM_S)

    store.put('op/config', document(VERSIONS + 9, 'new'))
    acknowledged = time.monotonic()
    stale = {}
    while time.monotonic() < acknowledged + WATCHED_S:
        for gateway in gateways:
            sent = time.monotonic()
            attempt, status, _, _ = await client.send(gateway, 'GET', '/a/x')
            age = sent - acknowledged
            lab.note(f'request {attempt} by {gateway.name}, sent {age:.2f} s '
                     f'after the acknowledgement: {status}, run by '
                     f'{runs.get(attempt)}')
            if age > labs.CONFIG_DEADLINE_S and runs.get(attempt) == 'old':
                stale.setdefault(gateway.name, []).append((age, attempt))
        await asyncio.sleep(0.2)
    for name, requests in stale.items():
        lab.broken(f'{len(requests)} requests of {name} were run by the old '
                   f'service, the last one sent {requests[-1][0]:.2f} s after '
                   f'the acknowledgement: {requests[-1][1]}')


labs.run(FOLDER, main)
