"""The demo that README names: the whole path on loopback, then a clean stop.

Run as ``python -m standins.demo``. It starts one control replica, two entries,
two runners and one plain service with their agents; sets them up by
``carobctl``; sends calls, and mistakes; and stops what it started by pid.
"""

import asyncio
import re
import sys

from standins.caller import Answer, Caller, Prompt, Verdict
from standins.deployment import (
    Deployment,
    DeploymentError,
    RunningProgram,
    open_client,
)
from standins.setup import wait_for_models

ZONES = ("anarkali", "saddar")
MODEL = "carob-small"
KEY_PATTERN = re.compile(r"key \(shown this once\): (\S+)")
TOO_LARGE_BYTES = 9 * 1024 * 1024


class DemoError(Exception):
    """The system did not do what the demo shows."""


class Demo:
    """Shows the main job of every program."""

    def __init__(self, *, deployment: Deployment) -> None:
        self._deployment = deployment
        self._entries: list[RunningProgram] = []

    async def run(self) -> None:
        """Show everything."""
        await self._start()
        key = await self._set_up()
        for entry in self._entries:
            await wait_for_models(entry.url(), key=key, model=MODEL)
        async with open_client() as client:
            await self._show_calls(Caller(client=client, key=key))
            await self._show_mistakes(
                Caller(client=client, key=key), Caller(client=client, key="")
            )
        await self._show_change()
        await self._stop()

    async def _start(self) -> None:
        say("Starting control, two entries, and agents beside their servers")
        await self._deployment.start_control(zone=ZONES[0])
        for index, zone in enumerate(ZONES):
            entry = await self._deployment.start_entry(f"entry-{index}", zone)
            self._entries.append(entry)
            runner = await self._deployment.start_runner(models=MODEL)
            await self._deployment.start_agent(
                f"runner-{index}",
                runner,
                zone,
                service="blurb-engine",
                models=MODEL,
            )
        desk = await self._deployment.start_desk()
        await self._deployment.start_agent(
            "desk-0", desk, ZONES[0], service="stall-desk", kind="plain", models=""
        )
        for program in self._deployment.programs:
            tell(f"{program.name} pid={program.pid} {program.ports}")

    async def _set_up(self) -> str:
        say("The operator sets two classes, a workspace and a plain service")
        await self._ctl("class", "set", "chat", "--priority=90", "--first-token-ms=420")
        await self._ctl("class", "set", "blurb", "--priority=50", "--total-ms=8000")
        output = await self._ctl(
            "workspace", "set", "stall-7", "--default-class=chat", "--key=new"
        )
        routes = "--unrepeatable=POST /bookings"
        await self._ctl("service", "set", "stall-desk", "--kind=plain", routes)
        match = KEY_PATTERN.search(output)
        if match is None:
            raise DemoError("carobctl printed no key")
        return match[1]

    async def _show_calls(self, caller: Caller) -> None:
        say("A caller asks through both entries, streamed and not")
        for entry in self._entries:
            for stream in (True, False):
                prompt = Prompt(
                    text=f"price this issue for {entry.name}",
                    tokens=8,
                    stream=stream,
                )
                answer = await caller.complete(entry.url(), prompt)
                kind = "streamed" if stream else "whole"
                expect(answer, Verdict.WHOLE, f"{kind} through {entry.name}")
                tell(f"   {prompt.expected}")
        say("A booking, which runs at most once, and its resend elsewhere")
        path, order = "/services/stall-desk/bookings", {"order": "issue-1"}
        headers = {"Idempotency-Key": "booking-1"}
        answers = [
            await caller.call(entry.url(), "POST", path, order, headers)
            for entry in self._entries
        ]
        for entry, answer in zip(self._entries, answers, strict=True):
            expect(answer, Verdict.WHOLE, f"booking through {entry.name}")
            tell("   " + answer.body.decode())
        if answers[0].body != answers[1].body:
            raise DemoError("the resend got another answer")
        url = self._entries[0].url()
        answer = await caller.call(url, "GET", "/services/stall-desk/catalogue/9")
        expect(answer, Verdict.WHOLE, "a catalogue lookup")

    async def _show_mistakes(self, caller: Caller, stranger: Caller) -> None:
        say("Mistakes get typed errors")
        url = self._entries[0].url()
        path = "/v1/chat/completions"
        prompt = Prompt(text="hello", tokens=2)
        body = prompt.build_body()
        unknown_class = {"X-Carob-Class": "no-such"}
        large = {"model": MODEL, "messages": "x" * TOO_LARGE_BYTES}
        cases = (
            ("no key", 401, stranger.call(url, "POST", path, body)),
            (
                "unknown model",
                404,
                caller.call(url, "POST", path, body | {"model": "no-such"}),
            ),
            (
                "unknown class",
                400,
                caller.call(url, "POST", path, body, unknown_class),
            ),
            ("bad JSON", 400, caller.call(url, "POST", path, b"{")),
            ("too large", 413, caller.call(url, "POST", path, large)),
        )
        for what, status, asking in cases:
            answer = await asking
            tell(f"{what}: {answer.status} {answer.reason}")
            if answer.status != status:
                raise DemoError(f"{what}: expected status {status}")

    async def _show_change(self) -> None:
        say("The operator changes a target and sees it in force at both entries")
        await self._ctl("--wait=True", "class", "set", "chat", "--first-token-ms=300")
        await self._ctl("status")
        await self._ctl("class", "list")

    async def _stop(self) -> None:
        say("Planned stop of every program, by pid")
        for program in reversed(self._deployment.programs):
            code = await program.stop()
            tell(f"{program.name} pid={program.pid} exit={code}")
            if code != 0:
                raise DemoError(f"{program.name} ended with {code}")

    async def _ctl(self, *words: str) -> str:
        command = " ".join(words)
        tell(f"$ carobctl {command}")
        output = await self._deployment.ctl(*words)
        for line in output.rstrip().splitlines():
            tell(f"   {line}")
        return output


def expect(answer: Answer, verdict: Verdict, what: str) -> None:
    """Print an answer and raise DemoError unless it has this verdict."""
    took_ms = round((answer.ended_s - answer.sent_s) * 1000)
    tell(f"{what}: {answer.status}, {answer.verdict.value}, {took_ms} ms")
    if answer.verdict is not verdict:
        text = answer.body[:300].decode(errors="replace")
        raise DemoError(f"{what}: {answer.reason} {text}")


def say(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text}", flush=True)


def tell(text: str) -> None:
    """Print a line of detail."""
    print(f"   {text}", flush=True)


async def run_demo() -> None:
    """Run the demo in a deployment of its own."""
    async with Deployment() as deployment:
        await Demo(deployment=deployment).run()


def main() -> None:
    """Run the demo; exit 1 when something isn't as it should be."""
    try:
        asyncio.run(run_demo())
    except (DemoError, DeploymentError) as error:
        print(f"the demo failed: {error}", file=sys.stderr)
        sys.exit(1)
    say("Done: everything worked and everything was stopped")


if __name__ == "__main__":
    main()
