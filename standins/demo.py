"""A demo of a whole deployment, with separate processes on loopback.

Starts a control replica, two entries, and agents next to two stand-in runners
and a stand-in plain service. It configures them with ``carobctl``, sends
requests to the entries, and stops every process that it started.
"""

import asyncio
import json
import sys
from collections.abc import Mapping

import aiohttp

from standins.deployment import Deployment, RunningProgram, open_client
from standins.setup import wait_for_model

MODEL = "carob-small"
KEY = "meet.demo-key-that-is-not-secret"
LARGE_BODY_BYTES = 9 * 1024 * 1024


class Demo:
    """Runs the steps of the demo on a deployment."""

    def __init__(
        self, *, deployment: Deployment, client: aiohttp.ClientSession
    ) -> None:
        self._deployment = deployment
        self._client = client
        self._entries: list[RunningProgram] = []

    async def run(self) -> None:
        """Run every step; raise an error if one fails."""
        await self._start_programs()
        await self._apply_settings()
        await self._call_models()
        await self._call_plain_service()
        await self._change_target()
        await self._send_invalid_requests()
        await self._stop_programs()

    async def _start_programs(self) -> None:
        deployment = self._deployment
        print_heading(
            "Starting carob-control, two carob-entry, and an agent beside each"
        )
        await deployment.start_control("c1", "zone-a")
        self._entries = [
            await deployment.start_entry("e1", "zone-a"),
            await deployment.start_entry("e2", "zone-b"),
        ]
        for name, zone in (("runner-1", "zone-a"), ("runner-2", "zone-b")):
            runner = await deployment.start_runner()
            await deployment.start_agent(name, runner, zone)
        booking_service = await deployment.start_booking_service()
        await deployment.start_agent(
            "desk-1", booking_service, "zone-b", service="desk", kind="plain", models=""
        )
        for program in deployment.programs:
            print(f"  {program.name} is running, pid {program.pid}")

    async def _apply_settings(self) -> None:
        print_heading("The operator sets two classes, a workspace and a service")
        for command in (
            "class set chat --priority=90 --first-token-ms=420 --token-gap-ms=45",
            "class set appraisal --priority=10 --total-ms=60000",
            f"workspace set meet --default-class=chat --key={KEY}",
        ):
            await self._run_carobctl(*command.split())
        await self._run_carobctl(
            "service", "set", "desk", "--kind=plain", "--unrepeatable=POST /bookings"
        )
        for entry in self._entries:
            await wait_for_model(entry.url(), key=KEY, model=MODEL)

    async def _call_models(self) -> None:
        print_heading(
            "A caller requests a chat completion, whole and streamed, at each entry"
        )
        for entry in self._entries:
            for stream in (False, True):
                body = {
                    "model": MODEL,
                    "stream": stream,
                    "messages": [{"role": "user", "content": f"{entry.name} tokens=5"}],
                }
                status, text = await self._send(
                    entry, "POST", "/v1/chat/completions", body=body
                )
                ending = text.strip().rsplit("\n", 1)[-1][-90:]
                print(f"  {entry.name} stream={stream}: {status} ...{ending}")
                check(status == 200, text)

    async def _call_plain_service(self) -> None:
        print_heading("A caller books once and resends through the other entry")
        headers = {"Idempotency-Key": "booking-1"}
        responses = []
        for entry in self._entries:
            status, text = await self._send(
                entry,
                "POST",
                "/services/desk/bookings",
                body={"order": "issue 7"},
                headers=headers,
            )
            print(f"  {entry.name}: {status} {text.strip()}")
            responses.append((status, text))
        check(responses[0] == responses[1] and responses[0][0] == 200, str(responses))

    async def _change_target(self) -> None:
        print_heading("The operator changes a target and waits until it is in force")
        await self._run_carobctl(
            "class", "set", "chat", "--first-token-ms=300", "--wait"
        )
        print(indent(await self._deployment.run_carobctl("status")))

    async def _send_invalid_requests(self) -> None:
        print_heading("Invalid requests get a typed error")
        entry = self._entries[0]
        path = "/v1/chat/completions"
        body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
        unknown = {"X-Carob-Class": "no-such-class"}
        cases = (
            ("no key", 401, {"key": ""}),
            ("unknown model", 404, {"body": body | {"model": "no-such-model"}}),
            ("unknown class", 400, {"body": body, "headers": unknown}),
            ("bad JSON", 400, {"raw": b"{"}),
            ("body too large", 413, {"raw": b" " * LARGE_BODY_BYTES}),
        )
        for name, expected, request in cases:
            status, text = await self._send(
                entry, "POST", path, **request  # type: ignore[arg-type]
            )
            print(f"  {name}: {status} {text.strip()[:150]}")
            check(status == expected and "error" in json.loads(text), text)

    async def _stop_programs(self) -> None:
        print_heading("Stopping every program by its pid")
        for program in reversed(self._deployment.programs):
            code = await program.stop()
            print(f"  {program.name} ended with {code}")
            check(code == 0 or not program.name.startswith(("c", "e")), str(code))

    async def _run_carobctl(self, *words: str) -> None:
        command = " ".join(word if " " not in word else f"'{word}'" for word in words)
        print(f"  $ carobctl {command}")
        print(
            indent(
                (await self._deployment.run_carobctl(*words))
                .strip()
                .rsplit("\n", 1)[-1]
            )
        )

    async def _send(
        self,
        entry: RunningProgram,
        method: str,
        path: str,
        *,
        body: Mapping[str, object] | None = None,
        raw: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        key: str = KEY,
    ) -> tuple[int, str]:
        data = raw if raw is not None else json.dumps(body or {}).encode()
        all_headers = {"Content-Type": "application/json"} | dict(headers or {})
        if key:
            all_headers["Authorization"] = f"Bearer {key}"
        async with self._client.request(
            method, entry.url() + path, data=data, headers=all_headers
        ) as response:
            return response.status, await response.text()


class DemoError(Exception):
    """A step of the demo gave an unexpected result."""


def check(condition: bool, observed: str) -> None:
    """Raise DemoError with the observed result unless the condition holds."""
    if not condition:
        raise DemoError(observed)


def print_heading(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n== {text}", flush=True)


def indent(text: str) -> str:
    """Return a text with each line indented."""
    return "\n".join(f"    {line}" for line in text.splitlines())


async def run_demo() -> None:
    """Run the demo; kill by pid what is still running afterwards."""
    async with Deployment() as deployment, open_client() as client:
        await Demo(deployment=deployment, client=client).run()


def main() -> None:
    """Run the demo and exit with 1 if a step fails."""
    try:
        asyncio.run(run_demo())
    except Exception as error:
        print(f"the demo failed: {error}", file=sys.stderr)
        sys.exit(1)
    print_heading("Done: all steps passed")


if __name__ == "__main__":
    main()
