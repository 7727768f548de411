"""Memory of control daemons and entries under check-ins of foreign servers.

Example:
    ``python -m bench.records --count 20000 --service elsewhere``
"""

import argparse
import asyncio
import itertools
import time

from bench.processes import read_cpu_s, read_resident_mb
from standins.backend_server import StandInServer
from standins.deployment import Deployment, open_client, wait_until
from standins.instances import InstanceSet, find_free_network
from standins.odd_check_ins import build_foreign_check_in, send_check_in
from standins.operator import Operator, build_configuration

#: Check-ins under way at a time.
CONCURRENCY = 8
PROGRESS_EVERY = 2_000
#: Seconds after the last check-in, for leases and closed clients to end.
SETTLE_S = 70.0
REQUEST_INTERVAL_S = 0.2


async def run(options: argparse.Namespace) -> None:
    """Start a deployment, send the check-ins and print what it held."""
    network = find_free_network()
    async with Deployment() as deployment, open_client(16) as client:
        instances = InstanceSet(deployment, network=network)
        await instances.start_all()
        controls = [control.control_url for control in instances.controls]
        operator = Operator(controls, client)
        server = StandInServer(
            service="svc", ip=f"127.{network}.200.1", controls=controls
        )
        await server.start()
        await operator.put(build_configuration(1))
        entries = instances.instances
        identifiers = itertools.count()

        async def is_served(number: int) -> bool:
            headers = {
                "Host": "shop.example",
                "Carobspring-Attempt-Id": f"a{next(identifiers)}",
                "Carobspring-Deadline-Ms": "2000",
                "Authorization": "Bearer key-1",
                "Connection": "close",
            }
            url = entries[number % len(entries)].frontend_url + "/read/x"
            try:
                async with client.get(url, headers=headers) as response:
                    return response.status == 200
            except OSError:
                return False

        async def serve_everywhere() -> bool:
            return all([await is_served(n) for n in range(len(entries))])

        await wait_until(serve_everywhere, "every entry serves")
        programs = {
            f"{role} {number}": entry.programs[role]
            for number, entry in enumerate(entries)
            for role in entry.programs
        }

        def report(count: int, started_at: float) -> None:
            used = ", ".join(
                f"{name} {read_resident_mb(program.pid):.1f} MB"
                f" {read_cpu_s(program.pid):.1f} s"
                for name, program in programs.items()
            )
            print(f"{count} in {time.monotonic() - started_at:.0f} s: {used}")

        served: list[bool] = []

        async def send_requests() -> None:
            for number in itertools.count():
                served.append(await is_served(number))
                await asyncio.sleep(REQUEST_INTERVAL_S)

        requesting = asyncio.create_task(send_requests())
        started_at = time.monotonic()
        report(0, started_at)
        born = int(time.time() * 1000)
        numbers = iter(range(options.count))
        statuses: dict[int, int] = {}

        async def send_check_ins() -> None:
            for number in numbers:
                address = f"127.{network}.{100 + number // 60_000}.2"
                if not options.same_address:
                    address += f":{1_000 + number % 60_000}"
                else:
                    address = server.address
                body = build_foreign_check_in(
                    address, service=options.service, born=born, seq=1
                )
                control = controls[number % len(controls)]
                status = await send_check_in(client, control, f"f-{number}", body)
                statuses[status] = statuses.get(status, 0) + 1
                if (number + 1) % PROGRESS_EVERY == 0:
                    report(number + 1, started_at)

        await asyncio.gather(*(send_check_ins() for _ in range(CONCURRENCY)))
        await asyncio.sleep(options.settle_s)
        report(options.count, started_at)
        requesting.cancel()
        print(f"statuses {statuses}, served {sum(served)} of {len(served)}")
        await server.close()


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=20_000)
    parser.add_argument("--service", default="elsewhere")
    parser.add_argument("--same-address", action="store_true")
    parser.add_argument("--settle-s", type=float, default=SETTLE_S)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
