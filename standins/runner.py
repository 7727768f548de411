"""A stand-in for a model's runner.

Started as ``python -m standins.runner --port 0``. It serves the
OpenAI-compatible API with a simulated engine. A response repeats the words of
its prompt, one per token, so that a test can match the two. ``max_tokens``, or
``tokens=N`` in the prompt, sets its length.
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
    """Faults that flags or ``POST /standin/fault`` set."""

    slow_factor: float = 1.0
    #: Exit immediately.
    crash: bool = False
    #: Exit when a prompt that contains this text arrives.
    crash_marker: str = ""
    #: Accept requests and never respond.
    hang: bool = False
    #: Stop sending after this many tokens of a response; zero is off.
    silent_after: int = 0
    #: Abort the connection after this many tokens; zero is off.
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
    """Return the tokens of a runner's response to a prompt."""
    words = prompt.split() or ["empty"]
    return [f"{words[index % len(words)]} " for index in range(tokens)]


def get_response_length(prompt: str, max_tokens: int | None) -> int:
    """Return the number of response tokens that a request asks for."""
    match = re.search(r"tokens=(\d+)", prompt)
    requested = int(match[1]) if match else max_tokens or DEFAULT_TOKENS
    return min(requested, max_tokens or requested)


class Runner:
    """The HTTP handlers of the stand-in runner."""

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
        """Respond with the models that the flags name."""
        models = [
            {"id": model, "object": "model", "owned_by": "standin"}
            for model in self._options.models.split(",")
        ]
        return web.json_response({"object": "list", "data": models})

    async def check_health(self, request: web.Request) -> web.Response:
        """Respond with 200, unless the hang fault is set."""
        await self._hang_if_set()
        return web.Response()

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Respond with the load as of ``load_lag_ms`` ago."""
        running, waiting = self._engine.read_load()
        lines = (
            f"vllm:num_requests_running {running}",
            f"vllm:num_requests_waiting {waiting}\n",
        )
        return web.Response(text="\n".join(lines))

    async def set_fault(self, request: web.Request) -> web.Response:
        """Set or clear faults."""
        self._faults = update_faults(self._faults, await request.read())
        self._engine.slow_factor = self._faults.slow_factor
        if self._faults.crash:
            os._exit(CRASH_STATUS)
        return web.json_response(dataclasses.asdict(self._faults))

    async def get_counters(self, request: web.Request) -> web.Response:
        """Respond with the counters of the engine."""
        return web.json_response(dataclasses.asdict(self._engine.counters))

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Respond to a completion request, streamed or in one body."""
        await self._hang_if_set()
        try:
            body = json.loads(await request.read())
            chat = request.path.endswith("/chat/completions")
            prompt = parse_prompt(body, chat=chat)
            echoed_text = prompt[-1]
        except (ValueError, KeyError, IndexError, TypeError) as error:
            return web.json_response({"error": {"message": str(error)}}, status=400)
        if self._faults.crash_marker and self._faults.crash_marker in echoed_text:
            os._exit(CRASH_STATUS)
        sequence = self._engine.submit(
            prompt=" ".join(prompt),
            tokens=get_response_length(echoed_text, body.get("max_tokens")),
            priority=int(body.get("priority", 0)),
        )
        model = str(body.get("model", ""))
        formatter = ResponseFormatter(model=model, chat=chat, echoed_text=echoed_text)
        try:
            if body.get("stream"):
                return await self._send_stream(request, sequence, formatter)
            return await self._send_body(sequence, formatter)
        except (asyncio.CancelledError, ConnectionError):
            self._engine.cancel(sequence)
            raise

    async def _hang_if_set(self) -> None:
        if self._faults.hang:
            await asyncio.Event().wait()

    async def _send_body(
        self, sequence: EngineSequence, formatter: "ResponseFormatter"
    ) -> web.Response:
        chunks = self._generate_chunks(sequence, formatter.echoed_text)
        text = "".join([chunk async for chunk in chunks])
        return web.json_response(formatter.build_body(text, sequence.tokens))

    async def _send_stream(
        self,
        request: web.Request,
        sequence: EngineSequence,
        formatter: "ResponseFormatter",
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for chunk in self._generate_chunks(sequence, formatter.echoed_text):
            await response.write(formatter.build_event(chunk, None))
            if 0 < self._faults.cut_after <= sequence.generated:
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
        await response.write(formatter.build_event("", "stop"))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _generate_chunks(
        self, sequence: EngineSequence, echoed_text: str
    ) -> AsyncIterator[str]:
        tokens = build_response_tokens(echoed_text, sequence.tokens)
        sent = 0
        while sent < len(tokens):
            step = min(self._options.tokens_per_chunk, len(tokens) - sent)
            generated = await sequence.wait_for_more_than(sent + step - 1)
            if 0 < self._faults.silent_after <= sent:
                await asyncio.Event().wait()
            yield "".join(tokens[sent:generated])
            sent = generated


@dataclass(frozen=True, kw_only=True)
class ResponseFormatter:
    """Builds response bodies of OpenAI's two completion APIs."""

    model: str
    chat: bool
    #: The prompt text that the response repeats.
    echoed_text: str

    def build_event(self, text: str, finish: str | None) -> bytes:
        """Return one server-sent event."""
        choice: dict[str, object] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
            kind = "chat.completion.chunk"
        else:
            choice["text"] = text
            kind = "text_completion"
        return b"data: %s\n\n" % json.dumps(self._build_envelope(kind, choice)).encode()

    def build_body(self, text: str, tokens: int) -> dict[str, object]:
        """Return the body of a response that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        usage = {"prompt_tokens": 0, "completion_tokens": tokens}
        usage["total_tokens"] = tokens
        return self._build_envelope(kind, choice) | {"usage": usage}

    def _build_envelope(
        self, kind: str, choice: dict[str, object]
    ) -> dict[str, object]:
        return {
            "id": "standin",
            "object": kind,
            "created": int(time.time()),
            "model": self.model,
            "choices": [choice],
        }


def parse_prompt(body: dict[str, Any], *, chat: bool) -> list[str]:
    """Return the texts of a prompt; the response repeats the last."""
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
