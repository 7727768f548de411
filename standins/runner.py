"""A stand-in for a model's runner: ``python -m standins.runner --port 0``.

Serves the OpenAI-compatible API over a modelled engine. An answer repeats the
words of the prompt, one a token, so that a test can tell whose it is;
``max_tokens``, or ``tokens=N`` in the prompt, sets its length.
"""

import asyncio
import dataclasses
import json
import os
import re
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from standins.engine import Engine, EngineParameters, EngineSequence
from standins.programs import parse_options, run_app, update_faults

DEFAULT_TOKENS = 16
CRASH_STATUS = 70


@dataclass(frozen=True, kw_only=True)
class RunnerFaults:
    """Faults that are switched by flags or ``POST /standin/fault``."""

    slow_factor: float = 1.0
    #: Exit at once.
    crash: bool = False
    #: Exit when a prompt with this text reaches the batch.
    crash_marker: str = ""
    #: Accept requests and never answer.
    hang: bool = False
    #: Send nothing more after this many tokens of an answer; zero is off.
    silent_after: int = 0
    #: Close the connection after this many tokens of an answer; zero is off.
    cut_after: int = 0


@dataclass(frozen=True, kw_only=True)
class RunnerOptions(RunnerFaults):
    """The flags of the stand-in runner."""

    host: str = "127.0.0.1"
    port: int = 0
    models: str = "carob-small"
    slots: int = 8
    token_ms: float = 10.0
    crowding: float = 0.05
    prompt_word_ms: float = 0.2
    prefix_blocks: int = 512
    load_lag_ms: int = 0
    tokens_per_chunk: int = 1


def build_response_tokens(prompt: str, tokens: int) -> list[str]:
    """Return the tokens that a runner answers a prompt with."""
    words = prompt.split() or ["empty"]
    return [f"{words[index % len(words)]} " for index in range(tokens)]


def get_response_length(prompt: str, max_tokens: int | None) -> int:
    """Return the length of the answer that a prompt asks for."""
    match = re.search(r"tokens=(\d+)", prompt)
    wanted = int(match[1]) if match else max_tokens or DEFAULT_TOKENS
    return min(wanted, max_tokens or wanted)


class Runner:
    """The HTTP side of a stand-in runner."""

    def __init__(self, *, options: RunnerOptions) -> None:
        names = [field.name for field in dataclasses.fields(RunnerFaults)]
        self._options = options
        self._faults = RunnerFaults(**{name: getattr(options, name) for name in names})
        parameters = EngineParameters(
            slots=options.slots,
            token_ms=options.token_ms,
            crowding=options.crowding,
            prompt_word_ms=options.prompt_word_ms,
            prefix_blocks=options.prefix_blocks,
        )
        self._engine = Engine(
            parameters=parameters, load_lag_s=options.load_lag_ms / 1000
        )
        self._engine.slow_factor = self._faults.slow_factor

    def build_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self.complete),
                web.post("/v1/completions", self.complete),
                web.get("/v1/models", self.list_models),
                web.get("/health", self.check_health),
                web.get("/metrics", self.get_metrics),
                web.post("/standin/fault", self.set_fault),
                web.get("/standin/counters", self.get_counters),
            ]
        )
        return app

    async def list_models(self, request: web.Request) -> web.Response:
        """Answer with the models that the flags name."""
        models = [
            {"id": model, "object": "model", "owned_by": "standin"}
            for model in self._options.models.split(",")
        ]
        return web.json_response({"object": "list", "data": models})

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the runner is well, unless it hangs."""
        await self._hang_if_told()
        return web.Response()

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Answer with the load as of the configured lag ago."""
        running, waiting = self._engine.read_load()
        lines = (
            f"vllm:num_requests_running {running}",
            f"vllm:num_requests_waiting {waiting}\n",
        )
        return web.Response(text="\n".join(lines))

    async def set_fault(self, request: web.Request) -> web.Response:
        """Switch faults on or off."""
        self._faults = update_faults(self._faults, await request.read())
        self._engine.slow_factor = self._faults.slow_factor
        if self._faults.crash:
            os._exit(CRASH_STATUS)
        return web.json_response(dataclasses.asdict(self._faults))

    async def get_counters(self, request: web.Request) -> web.Response:
        """Answer with what the engine did."""
        return web.json_response(dataclasses.asdict(self._engine.counters))

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a prompt, streamed or whole."""
        await self._hang_if_told()
        try:
            body = json.loads(await request.read())
            chat = request.path.endswith("/chat/completions")
            prompt = parse_prompt(body, chat=chat)
            echoed = prompt[-1]
        except (ValueError, KeyError, IndexError, TypeError) as error:
            return web.json_response({"error": {"message": str(error)}}, status=400)
        if self._faults.crash_marker and self._faults.crash_marker in echoed:
            os._exit(CRASH_STATUS)
        sequence = self._engine.submit(
            prompt=" ".join(prompt),
            tokens=get_response_length(echoed, body.get("max_tokens")),
            priority=int(body.get("priority", 0)),
        )
        model = str(body.get("model", ""))
        answer = ResponseFormatter(model=model, chat=chat, echoed=echoed)
        try:
            if body.get("stream"):
                return await self._send_stream(request, sequence, answer)
            return await self._send_whole(sequence, answer)
        except (asyncio.CancelledError, ConnectionError):
            self._engine.cancel(sequence)
            raise

    async def _hang_if_told(self) -> None:
        if self._faults.hang:
            await asyncio.Event().wait()

    async def _send_whole(
        self, sequence: EngineSequence, answer: "ResponseFormatter"
    ) -> web.Response:
        pieces = self._read_pieces(sequence, answer.echoed)
        text = "".join([piece async for piece in pieces])
        return web.json_response(answer.build_whole(text, sequence.tokens))

    async def _send_stream(
        self,
        request: web.Request,
        sequence: EngineSequence,
        answer: "ResponseFormatter",
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for piece in self._read_pieces(sequence, answer.echoed):
            await response.write(answer.build_event(piece, None))
            if 0 < self._faults.cut_after <= sequence.generated:
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
        await response.write(answer.build_event("", "stop"))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _read_pieces(
        self, sequence: EngineSequence, echoed: str
    ) -> AsyncIterator[str]:
        tokens = build_response_tokens(echoed, sequence.tokens)
        sent = 0
        while sent < len(tokens):
            step = min(self._options.tokens_per_chunk, len(tokens) - sent)
            have = await sequence.wait_for_more_than(sent + step - 1)
            if 0 < self._faults.silent_after <= sent:
                await asyncio.Event().wait()
            yield "".join(tokens[sent:have])
            sent = have


@dataclass(frozen=True, kw_only=True)
class ResponseFormatter:
    """Builds the bodies of OpenAI's two completion APIs."""

    model: str
    chat: bool
    #: The text that the answer repeats.
    echoed: str

    def build_event(self, text: str, finish: str | None) -> bytes:
        """Return one server-sent event."""
        choice: dict[str, object] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
            kind = "chat.completion.chunk"
        else:
            choice["text"] = text
            kind = "text_completion"
        return b"data: %s\n\n" % json.dumps(self._wrap(kind, choice)).encode()

    def build_whole(self, text: str, tokens: int) -> dict[str, object]:
        """Return a whole answer."""
        choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        usage = {"prompt_tokens": 0, "completion_tokens": tokens}
        usage["total_tokens"] = tokens
        return self._wrap(kind, choice) | {"usage": usage}

    def _wrap(self, kind: str, choice: dict[str, object]) -> dict[str, object]:
        return {
            "id": "standin",
            "object": kind,
            "created": int(time.time()),
            "model": self.model,
            "choices": [choice],
        }


def parse_prompt(body: dict[str, Any], *, chat: bool) -> list[str]:
    """Return the texts of a prompt; the answer repeats the last."""
    if chat:
        return [str(message["content"]) for message in body["messages"]]
    return [str(body["prompt"])]


def main() -> None:
    """Run a stand-in runner."""
    options = parse_options(RunnerOptions)
    runner = Runner(options=options)
    run_app(runner.build_app(), host=options.host, port=options.port)


if __name__ == "__main__":
    main()
