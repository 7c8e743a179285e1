"""The first machine of a zone is restarted while backends are released."""

import asyncio
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MACHINES = 6
SERVERS = 5
SERVICES = (
    'member-ledger',
    'truck-roster',
    'lot-finder-1',
    'lot-finder-2',
    'lot-finder-3',
    'lot-finder-4',
)
#: One backend of each service is replaced each second: the new one starts, and
#: half a second later the old one leaves. It serves on for `drain_ms` and a
#: little longer.
RELEASE_GAP_S = 1.0
SERVES_ON_S = 12
RESTARTS = 11
RESTART_INTERVAL_S = 8.5
LAST_RESTART_AT_S = 92
REQUEST_INTERVAL_S = 0.1
DRAIN_S = s.BOUNDS['drain_ms'] / 1000


class Deployment:
    """Store, backends, machines and the clients' requests."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.backends, self.gone_at_s, self.sent_at_s = [], {}, {}
        self.answers = []
        self.tasks = set()
        self.number = 0

    async def add_backend(self, service):
        """Start a backend and register it."""
        self.number += 1
        backend = s.Backend(f'i-{self.number:04}', service, self.record)
        await backend.start()
        self.backends.append(backend)
        self.store.put(f'servers/{backend.name}', backend.entry())

    def spawn(self, coroutine):
        """Run a coroutine in a task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def release(self, service):
        """Replace the backends of a service, one after the other.

        Every second one reports that it drains; the entries of the others are
        removed at once.
        """
        count = 0
        offset = SERVICES.index(service) / len(SERVICES)
        await asyncio.sleep(RELEASE_GAP_S * offset)
        while True:
            await asyncio.sleep(RELEASE_GAP_S / 2)
            await self.add_backend(service)
            await asyncio.sleep(RELEASE_GAP_S / 2)
            old = next(
                backend
                for backend in self.backends
                if backend.service == service
                and backend.name not in self.gone_at_s
            )
            self.gone_at_s[old.name] = self.record.now_s()
            count += 1
            if count % 2:
                self.store.remove(f'servers/{old.name}')
                self.record.write(f'entry of {old.name} is removed')
            else:
                entry = old.entry('draining')
                self.store.put(f'servers/{old.name}', entry)
                self.record.write(f'{old.name} is draining')
            self.spawn(self.end_later(old))

    async def end_later(self, backend):
        """End a backend some time after its entry was removed."""
        await asyncio.sleep(SERVES_ON_S)
        backend.stop()
        self.store.remove(f'servers/{backend.name}')
        self.record.write(f'{backend.name} ends')

    async def request(self):
        """Send requests to all machines but the restarted one."""
        number = 0
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            for daemon in self.daemons[1:]:
                number += 1
                turn = number // len(self.daemons)
                service = SERVICES[turn % len(SERVICES)]
                request_id = f'{daemon.name}-{number}'
                self.spawn(self.send(daemon, service, request_id))

    async def send(self, daemon, service, request_id):
        """Send one request."""
        self.sent_at_s[request_id] = self.record.now_s()
        try:
            answer = await s.exchange(
                daemon.front,
                f'GET /{service}/{request_id}',
                (
                    ('Host', 'shop.example'),
                    ('Request-Id', request_id),
                    ('Request-Timeout-Ms', '6000'),
                ),
            )
            self.answers.append(answer.status)
        except (OSError, TimeoutError) as error:
            self.answers.append(0)
            self.record.write(f'client gets {request_id}: {error!r}')

    def late_runs(self):
        """Return the requests that reached a backend too late."""
        return [
            (backend.name, request_id, at_s - self.gone_at_s[backend.name])
            for backend in self.backends
            if backend.name in self.gone_at_s
            for at_s, request_id, _ in backend.runs
            if at_s > self.gone_at_s[backend.name] + DRAIN_S
            and self.sent_at_s[request_id]
            > self.gone_at_s[backend.name] + DRAIN_S
        ]

    async def play(self):
        """Play the whole case."""
        self.store = await s.Store().start()
        for _ in range(SERVERS):
            for service in SERVICES:
                await self.add_backend(service)
        routes = [s.route(each, f'/{each}/', service=each) for each in SERVICES]
        self.store.put('op/config', s.configuration(3, routes, SERVICES))
        self.daemons = [
            s.Daemon(
                f'front-here-{n}', self.store.address, self.folder, self.record
            )
            for n in range(1, MACHINES + 1)
        ]
        try:
            for daemon in self.daemons:
                await daemon.start()
            for daemon in self.daemons:
                await daemon.wait_until_ready()
            await asyncio.sleep(6)  # in touch
            self.spawn(self.request())
            for service in SERVICES:
                self.spawn(self.release(service))
            for _ in range(RESTARTS):
                if self.record.now_s() > LAST_RESTART_AT_S:
                    break
                if TROUBLE:
                    await self.daemons[0].stop()
                    await asyncio.sleep(0.5)
                    await self.daemons[0].start()
                    await self.daemons[0].wait_until_ready()
                    await asyncio.sleep(RESTART_INTERVAL_S - 4)
                else:
                    await asyncio.sleep(RESTART_INTERVAL_S)
        finally:
            for task in tuple(self.tasks):
                task.cancel()
            for daemon in self.daemons:
                await daemon.kill()


async def main():
    record = s.Record(HERE)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, record)
        async with asyncio.timeout(110):
            await deployment.play()
    late = deployment.late_runs()
    for server, request_id, after_s in late:
        record.write(
            f'{request_id} reached {server} {after_s:.3f} s after its entry '
            'was removed'
        )
    served = deployment.answers.count(200)
    record.write(
        f'{served} of {len(deployment.answers)} requests served; {len(late)} '
        f'reached {len({server for server, _, _ in late})} of '
        f'{len(deployment.gone_at_s)} removed backends too late'
    )
    if not served or not deployment.gone_at_s:
        return 2
    return 1 if late else 0


if __name__ == '__main__':
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(repr(error))
        code = 2
    sys.exit(code)
