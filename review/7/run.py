"""A caller that has sent two requests ahead leaves before its deadline, while
the target drains. The gateway process ends with a segmentation fault."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'standins-2'))

import world as w   # noqa: E402
from http1 import read_body, read_head, reset   # noqa: E402

DEADLINE_MS = 3000
LEAVES_AFTER_S = 2.2
OTHERS = 6
ALLOWED = 3   # by the rule LOST


def request_bytes(path, identity):
    """Returns a request."""
    return (f'GET {path} HTTP/1.1\r\nHost: review.example\r\n'
            f'X-Attempt-Id: {identity}\r\n'
            f'X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n').encode()


class Other:
    """Another caller, with a kept connection and a sound target."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.reader = None
        self.writer = None

    async def ask(self, path, name):
        """Sends a request; returns whether it was answered in full."""
        identity = f'{name}{self.number}'
        self.world.log('sent', id=identity, path=path)
        self.writer.write(request_bytes(path, identity))
        try:
            head = await asyncio.wait_for(read_head(self.reader), 3.0)
            if head is not None:
                await read_body(self.reader, head[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            head = None
        self.world.log('answered', id=identity,
                       status=None if head is None else head[0])
        return head is not None


async def play(world, trouble):
    """Plays the case."""
    world.configure(1, [w.route('sheet', 'idempotent', 'bench', 3, 1),
                        w.route('status', 'idempotent', 'desk', 3, 1)],
                    [w.service('bench'), w.service('desk')])
    gateway, target = world.add('machine-1', 'z1', 'bench', slots=1)
    world.add('machine-2', 'z2', 'desk', slots=8)
    await world.start()
    await asyncio.sleep(2.0)
    for i in range(12):
        await world.request(gateway, 'GET', '/sheet/20', f'a{i}', DEADLINE_MS)
    others = [Other(world, i) for i in range(OTHERS)]
    for other in others:
        other.reader, other.writer = await asyncio.open_connection(
            w.HOST, gateway.ports['callers'])
        if not await other.ask('/status/20', 'first'):
            raise w.CannotRun('a first request was not answered')
    reader, writer = await asyncio.open_connection(
        w.HOST, gateway.ports['callers'])
    sent_at = time.monotonic()
    for path, name in (('/sheet/2700', 'long'), ('/sheet/20', 'short')):
        world.log('sent', id=name, path=path)
        writer.write(request_bytes(path, name))
    await asyncio.sleep(0.1)
    target.state = 'draining'
    while target.acked_drain_at is None:
        if not await target.beat_once():
            await asyncio.sleep(0.05)
    await asyncio.sleep(sent_at + LEAVES_AFTER_S - 0.3 - time.monotonic())
    asked = [asyncio.create_task(other.ask('/status/800', 'second'))
             for other in others]
    if trouble:
        await asyncio.sleep(sent_at + LEAVES_AFTER_S - time.monotonic())
        world.log('left')
        reset(writer)
    else:
        data = b''
        try:
            async with asyncio.timeout(4.0):
                while part := await reader.read(65536):
                    data += part
        except asyncio.TimeoutError:
            pass
        world.log('answers', heads=data.count(b'HTTP/1.1 '))
    answered = await asyncio.gather(*asked)
    status = await gateway.wait_end(2.0)
    world.log('gateway', status=status)
    lost = answered.count(False)
    if status is None and lost <= ALLOWED:
        return []
    return [f'LOST: {lost} requests on kept connections, passed on to a sound '
            f'target, got no answer; the gateway ended with status {status}']


if __name__ == '__main__':
    w.run_case(FOLDER, play)
