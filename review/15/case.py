"""DENIED: requests with a long path get 404 though their route is there.

The paths have 5,000 bytes; a head may have 16,384 in the configuration.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'standins-3'))

import lab as labs  # noqa: E402

LONG_PATH = 5000
SHORT_PATH = 500        # without trouble
LONG_REQUESTS = 60
PLAIN_REQUESTS = 240
ALLOWED = 5             # and one in 500 of all requests


async def main(lab, trouble):
    store = labs.Store(lab)
    await store.open()
    store.put('op/config', labs.config(
        1, [labs.route('r1', '/desk/', 'desk'),
            labs.route('r2', '/desk/book/', 'desk', kind='non_idempotent')],
        [labs.service('desk', False)]))
    gateways = []
    for name in ('h1', 'h2', 'h3'):
        gateway = labs.Gateway(lab, name, 'desk', store, f'z-{name}')
        target = labs.Target(lab, name, 'desk', gateway.ports, False)
        await gateway.start()
        await target.start()
        gateways.append(gateway)
    client = labs.Client(lab)

    async def are_served():
        return all([(await client.send(g, 'GET', '/desk/x'))[1] == 200
                    for g in gateways])

    await labs.wait_for(are_served, 10, 'not served')
    await asyncio.sleep(5)   # the machines are calm and in touch
    client.statuses = {}
    denied = []
    length = LONG_PATH if trouble else SHORT_PATH
    for index in range(PLAIN_REQUESTS + LONG_REQUESTS):
        gateway = gateways[index % len(gateways)]
        method, prefix = (('GET', '/desk/'), ('POST', '/desk/book/'))[
            index // len(gateways) % 2]
        is_long = index % 5 == 4
        path = prefix + 'p' * ((length if is_long else 8) - len(prefix))
        attempt, status, _, _ = await client.send(gateway, method, path)
        if is_long:
            lab.note(f'{method} {path[:20]}... of {len(path)} bytes, request '
                     f'{attempt} by {gateway.name}: {status}')
        if 300 <= status < 500 and status not in (408, 421, 429):
            denied.append(attempt)
        await asyncio.sleep(0.01)
    total = PLAIN_REQUESTS + LONG_REQUESTS
    lab.note(f'answers: {client.statuses}')
    if len(denied) > ALLOWED + total / 500:
        lab.broken(f'{len(denied)} of {total} proper requests got a 3xx or '
                   '4xx of the gateway')


labs.run(FOLDER, main)
