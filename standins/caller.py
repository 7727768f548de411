"""A caller that checks that a response is its own and complete."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

import aiohttp

from standins.runner import build_response_tokens

DATA_PREFIX = b"data: "
DONE_LINE = b"data: [DONE]"
REFUSED_STATUSES = (429, 503)


class Verdict(Enum):
    """Whether the response to a call is complete and correct."""

    #: It is the expected text, and its end is marked.
    COMPLETE = "complete"
    #: Its end is marked, but the text is not the expected one.
    INCORRECT = "incorrect"
    #: The connection broke, or a stream ended without its end mark.
    TRUNCATED = "truncated"
    #: The request was rejected with status 429 or 503.
    REFUSED = "refused"
    #: The status was another error, or no response began.
    FAILED = "failed"


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """The result of a call; times are seconds of the monotonic clock."""

    sent_s: float
    ended_s: float
    verdict: Verdict
    status: int = 0
    first_byte_s: float = 0.0
    body: bytes = b""
    retry_after_s: float = 0.0
    #: Code of the error in the body, or class name of a transport error.
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """A prompt for a stand-in runner, which determines the expected text."""

    text: str
    tokens: int
    model: str = "carob-small"
    stream: bool = False
    service_class: str = ""
    #: A system message before the text, shared with other prompts.
    prefix: str = ""

    @property
    def text_with_length(self) -> str:
        """The text with ``tokens=N``, which sets the response length."""
        return f"{self.text} tokens={self.tokens}"

    @property
    def expected_text(self) -> str:
        """The text of a correct response."""
        return "".join(build_response_tokens(self.text_with_length, self.tokens))

    def build_body(self) -> dict[str, object]:
        """Return the request body."""
        messages = [{"role": "user", "content": self.text_with_length}]
        if self.prefix:
            messages.insert(0, {"role": "system", "content": self.prefix})
        return {"model": self.model, "stream": self.stream, "messages": messages}


class Caller:
    """Sends requests to entries with the key of one workspace."""

    def __init__(self, *, client: aiohttp.ClientSession, key: str) -> None:
        self._client = client
        self._key = key

    async def complete(self, entry: str, prompt: Prompt) -> CallResult:
        """Request a chat completion and check it."""
        url = f"{entry}/v1/chat/completions"
        headers = {"X-Carob-Class": prompt.service_class}
        result = await self._send(
            "POST", url, prompt.build_body(), headers if prompt.service_class else {}
        )
        if result.verdict is not Verdict.COMPLETE:
            return result
        return replace(result, verdict=check_completion(result.body, prompt))

    async def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: Mapping[str, object] | bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> CallResult:
        """Call a path with a JSON or bytes body.

        A response with a status below 400 counts as complete.
        """
        return await self._send(method, entry + path, body, headers or {})

    async def _send(
        self,
        method: str,
        url: str,
        body: Mapping[str, object] | bytes | None,
        headers: Mapping[str, str],
    ) -> CallResult:
        content = body if isinstance(body, bytes | None) else encode_body(body)
        sent_s = time.monotonic()
        authorization = {"Authorization": f"Bearer {self._key}"}
        first_byte_s, chunks, status = 0.0, [], 0
        try:
            async with self._client.request(
                method, url, data=content, headers=authorization | dict(headers)
            ) as response:
                status = response.status
                async for data in response.content.iter_any():
                    first_byte_s = first_byte_s or time.monotonic()
                    chunks.append(data)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return CallResult(
                sent_s=sent_s,
                first_byte_s=first_byte_s,
                ended_s=time.monotonic(),
                status=status,
                body=b"".join(chunks),
                verdict=Verdict.TRUNCATED if status else Verdict.FAILED,
                reason=type(error).__name__,
            )
        result = CallResult(
            sent_s=sent_s,
            first_byte_s=first_byte_s,
            ended_s=time.monotonic(),
            status=status,
            body=b"".join(chunks),
            verdict=Verdict.COMPLETE,
        )
        if status < 400:
            return result
        return replace(
            result,
            verdict=Verdict.REFUSED if status in REFUSED_STATUSES else Verdict.FAILED,
            reason=parse_error_code(result.body),
            retry_after_s=float(response.headers.get("Retry-After", 0)),
        )


def encode_body(body: Mapping[str, object]) -> bytes:
    """Encode a body as JSON."""
    return json.dumps(body).encode()


def check_completion(body: bytes, prompt: Prompt) -> Verdict:
    """Compare a chat completion with the one that the prompt expects."""
    if prompt.stream:
        if DONE_LINE not in body:
            return Verdict.TRUNCATED
        text = parse_stream_text(body)
    else:
        text = json.loads(body)["choices"][0]["message"]["content"]
    return Verdict.COMPLETE if text == prompt.expected_text else Verdict.INCORRECT


def parse_stream_text(body: bytes) -> str:
    """Return the text of the events of a streamed chat completion."""
    texts = []
    for line in body.split(b"\n"):
        if line.startswith(DATA_PREFIX) and line != DONE_LINE:
            choices = json.loads(line[len(DATA_PREFIX) :]).get("choices") or [{}]
            texts.append(choices[0].get("delta", {}).get("content", ""))
    return "".join(texts)


def parse_error_code(body: bytes) -> str:
    """Return the code or message of an error body, or ``untyped``."""
    try:
        error = json.loads(body)["error"]
        return str(error.get("code") or error["message"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return "untyped"
