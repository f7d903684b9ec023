"""A machine that was cut off for 11 s returns and grants keys by a key map
from before the cut, which another target holds by then."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'standins-2'))

import world as w   # noqa: E402
from cut import Cuts, CutProxy   # noqa: E402

ZONES = ('kochi-a', 'kochi-b', 'kochi-c')
MACHINES = 9
CUT_MACHINES = 3      # a share of 0.33
CUT_S = 11.0          # the pages' day has 12
CALM_S = 4.5
THAW_S = 0.3
OVERLAP_S = 0.5
KEYS = 65536


def overlap(first, second):
    """Returns whether two rows [first, last, fence] share keys."""
    return first[0] <= second[1] and second[0] <= first[1]


class Judge:
    """Checks the rule OWNER by what the targets hold."""

    def __init__(self, world):
        self.world = world
        self.healed_at = -1000.0
        self.faults = []
        self.since = {}

    def live_rows(self, target):
        """Returns the rows that a target holds now."""
        if not target.alive or time.monotonic() >= target.grants_end:
            return []
        return target.grants

    async def watch(self):
        """Looks at all targets many times a second."""
        while True:
            self.check()
            await asyncio.sleep(0.02)

    def check(self):
        """Finds keys that two targets have held for over half a second, where
        the later grant came more than THAW_S after the end of a cut."""
        now = time.monotonic()
        found = set()
        targets = self.world.targets
        for i, one in enumerate(targets):
            for other in targets[i + 1:]:
                pair = next(((a, b) for a in self.live_rows(one)
                             for b in self.live_rows(other)
                             if overlap(a, b)), None)
                if pair is None:
                    continue
                name = (one.id, other.id)
                found.add(name)
                if name not in self.since:
                    self.since[name] = now
                    if now - self.healed_at <= THAW_S:
                        self.since[name] = float('inf')
                    self.world.log('two_holders', one=one.id, row=pair[0],
                                   other=other.id, other_row=pair[1],
                                   after_heal=round(now - self.healed_at, 3))
                elif now - self.since[name] > OVERLAP_S:
                    self.since[name] = float('inf')
                    self.faults.append(
                        f'OWNER: {one.id} {pair[0]} and {other.id} {pair[1]} '
                        'held the same keys for over half a second')
        for name in set(self.since) - found:
            del self.since[name]


async def relays(world):
    """Returns the machines that pass the store's changes on: those that most
    others name as their source, by the order of the gateways' own state."""
    counts = {gateway.name: 0 for gateway in world.gateways}
    for gateway in world.gateways:
        answer = await w.call(w.HOST, gateway.ports['metrics'], 'GET',
                              '/state', {})
        if answer is None:
            continue
        state = w.json.loads(answer[2])
        counts[state.get('item_source', '')] = \
            counts.get(state.get('item_source', ''), 0) + 1
        counts[gateway.name] = counts.get(gateway.name, 0) + \
            100 * bool(state.get('watching_store'))
    return sorted(world.names, key=lambda name: -counts[name])


async def play(world, trouble):
    """Plays the case."""
    cuts = Cuts()
    world.names = []
    ports = w.free_ports(2 * MACHINES)
    proxies = []
    for index in range(MACHINES):
        zone = ZONES[index % 3]
        name = f'sidecar-{zone}-{index // 3 + 1}'
        world.names.append(name)
        gateway, target = world.add(name, zone, 'pack-desk', keyed=True)
        store_port, peers_port = ports[2 * index:2 * index + 2]
        gateway.rewrite(store=store_port, advertised=peers_port)
        proxies.append(CutProxy(cuts, w.HOST, store_port, world.store.port,
                                lambda first, name=name: [name]))

        def ends(first, name=name):
            found = [(first.find(other.encode()), other)
                     for other in world.names if other.encode() in first]
            return [min(found)[1], name] if found else [name]
        proxies.append(CutProxy(cuts, w.HOST, peers_port,
                                gateway.ports['peers'], ends))
    for proxy in proxies:
        await proxy.open()
    world.configure(1, [w.route('status', 'idempotent', 'pack-desk', 1, 0.2),
                        w.route('book', 'non_idempotent', 'pack-desk', 1,
                                0.5)], [w.service('pack-desk', True)])
    await world.start()
    judge = Judge(world)
    watcher = asyncio.create_task(judge.watch())
    rng = random.Random(1)
    sent = 0

    async def clients():
        nonlocal sent
        while True:
            gateway = rng.choice([each for each in world.gateways
                                  if each.name not in cuts.hosts])
            sent += 1
            asyncio.create_task(world.request(
                gateway, 'POST', '/book/30', f'b{sent}', 1000,
                rng.randrange(KEYS)))
            await asyncio.sleep(0.02)
    traffic = asyncio.create_task(clients())
    await asyncio.sleep(7.5)
    held = sum(len(target.grants) for target in world.targets)
    if held == 0:
        raise w.CannotRun('no target got any keys')
    order = await relays(world)
    world.log('relays', order=','.join(order))
    end = world.started + 104
    while time.monotonic() + CUT_S < end and not judge.faults:
        if trouble:
            cuts.begin(order[:CUT_MACHINES])
            world.log('cut', hosts=','.join(sorted(cuts.hosts)))
        await asyncio.sleep(CUT_S)
        if trouble:
            cuts.end()
            judge.healed_at = time.monotonic()
            world.store.compact()
            world.log('healed')
        await asyncio.sleep(CALM_S)
    traffic.cancel()
    watcher.cancel()
    runs = [fields['id'] for _, kind, fields in world.events if kind == 'run']
    if len(runs) != len(set(runs)):
        judge.faults.append('TWICE: a request ran twice')
    return judge.faults


if __name__ == '__main__':
    w.run_case(FOLDER, play)
