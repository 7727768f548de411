import asyncio
import json
import unittest

import openai
from hypothesis import given, settings, strategies as st

from carobspring.domain import RunStatus
from carobspring.entry import ERROR_KINDS
from carobspring.ports import HttpRequest, HttpResponder
from carobspring.programs.entry_program import EntryOptions, EntryProgram
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, ViewUpdate
from tests.entry.deployment import EntryTestCase, wait_until
from tests.entry.fakes import KEY_A, SECRET, build_settings

MESSAGES = [{"role": "user", "content": "hello"}]
CHUNK = (
    b'data: {"id":"1","object":"chat.completion.chunk","created":0,"model":"m1",'
    b'"choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":null}]}\n\n'
)
COMPLETION = (
    b'{"id":"1","object":"chat.completion","created":0,"model":"m1","choices":'
    b'[{"index":0,"message":{"role":"assistant","content":"hi"},'
    b'"finish_reason":"stop"}]}'
)
SSE = (("Content-Type", "text/event-stream"),)


class OpenAIClientTest(EntryTestCase):
    """The API works with the unmodified openai client library."""

    async def asyncSetUp(self):
        """Create an openai client for the entry."""
        await super().asyncSetUp()
        self.openai = openai.AsyncOpenAI(
            api_key=KEY_A, base_url=f"{self.base}/v1", max_retries=0
        )
        self.addAsyncCleanup(self.openai.close)

    def script(self, chunks, end=RunStatus.RAN, headers=SSE):
        """Make the model agents respond with these chunks."""
        events, offset = [CallEvent(head=ResponseHead(status=200, headers=headers))], 0
        for chunk in chunks:
            events.append(CallEvent(data=chunk, offset=offset))
            offset += len(chunk)
        events.append(CallEvent(end=CallEnd(run_status=end), offset=offset))
        for agent in self.agents:
            agent.script = events

    def send_call(self, stream=False, **options):
        """Request a chat completion."""
        return self.openai.chat.completions.create(
            model="m1", messages=MESSAGES, stream=stream, **options
        )

    async def test_buffered_response(self):
        """The client parses a response that isn't streamed."""
        self.script([COMPLETION], headers=(("Content-Type", "application/json"),))
        response = await self.send_call()
        self.assertEqual(response.choices[0].message.content, "hi")

    async def test_streamed_response(self):
        """The client receives every chunk and the end of the stream."""
        self.script([CHUNK, CHUNK, b"data: [DONE]\n\n"])
        chunks = [chunk async for chunk in await self.send_call(stream=True)]
        texts = [chunk.choices[0].delta.content for chunk in chunks]
        self.assertEqual(texts, ["hi", "hi"])

    async def test_broken_stream(self):
        """The client raises an error for a broken stream."""
        self.script([CHUNK], end=RunStatus.UNKNOWN)
        with self.assertRaises(openai.APIError) as caught:
            async for _ in await self.send_call(stream=True):
                pass
        self.assertEqual(caught.exception.code, "backend_lost")

    async def test_cancelled(self):
        """The call is cancelled when the client closes its stream."""

        async def hold(request, send):
            await self.agents[0].send_script(request, send)
            await asyncio.Event().wait()

        self.script([CHUNK])
        self.agents[0].script.pop()
        for agent in self.agents:
            agent.on_run = hold
        stream = await self.send_call(stream=True)
        await anext(aiter(stream))
        await stream.close()
        await wait_until(lambda: any(agent.cancels for agent in self.agents))

    async def test_errors(self):
        """Errors are raised as the client's error classes with their code."""
        self.control.push(ViewUpdate(settings=build_settings(revision=2, limit=1)))
        await wait_until(lambda: self.entry._state.settings.revision == 2)
        with self.assertRaises(openai.BadRequestError) as caught:
            await self.send_call(extra_headers={"X-Carob-Class": "gold"})
        self.assertEqual(caught.exception.code, "unknown_class")
        unknown_client = self.openai.with_options(api_key="nobodys")
        with self.assertRaises(openai.AuthenticationError):
            await unknown_client.models.list()
        with self.assertRaises(openai.NotFoundError) as caught:
            await self.openai.chat.completions.create(model="x", messages=MESSAGES)
        self.assertEqual(caught.exception.code, "model_not_found")
        proceed = asyncio.Event()

        async def hold(request, send):
            await proceed.wait()
            await self.agents[0].send_script(request, send)

        self.script([COMPLETION], headers=())
        for agent in self.agents:
            agent.on_run = hold
        first = asyncio.ensure_future(self.send_call())
        await wait_until(lambda: any(agent.runs for agent in self.agents))
        with self.assertRaises(openai.RateLimitError) as caught:
            await self.send_call()
        self.assertEqual(caught.exception.code, "workspace_limit")
        self.assertIn("retry-after", caught.exception.response.headers)
        proceed.set()
        await first

    async def test_retry_by_the_client(self):
        """The client's retry after the advised delay succeeds."""
        for agent in self.agents:
            agent.on_run = agent.refuse
        self.script([COMPLETION], headers=())
        retrying_client = self.openai.with_options(max_retries=1)
        request = retrying_client.chat.completions.create(
            model="m1", messages=MESSAGES, extra_headers={"Idempotency-Key": "k1"}
        )
        call = asyncio.ensure_future(request)
        await wait_until(lambda: all(agent.runs for agent in self.agents))
        for agent in self.agents:
            agent.on_run = agent.send_script
        self.assertEqual((await call).choices[0].message.content, "hi")

    async def test_models(self):
        """The list of models contains what the servers announced."""
        models = [model.id async for model in self.openai.models.list()]
        self.assertEqual(models, ["m1"])


class RecordingResponder(HttpResponder):
    """Records the responses of a handler."""

    def __init__(self):
        self.disconnected = asyncio.Event()
        self.answers = []

    async def send(self, status, headers, body):
        """Record a complete response."""
        self.answers.append((status, headers, body))

    async def start(self, status, headers):
        """Fail the test: no call may succeed without servers."""
        raise AssertionError("a response was started")

    async def write(self, data):
        """Ignore a chunk."""

    async def finish(self):
        """Ignore the end."""

    def abort(self):
        """Ignore an abort."""


TEXT = st.text(max_size=20)
PATH = st.one_of(
    st.sampled_from(
        [
            "/v1/chat/completions",
            "/v1/completions",
            "/v1/models",
            "/services/desk",
            "/services/desk/book",
            "/services/",
            "/services//x",
        ]
    ),
    TEXT.map(lambda text: f"/{text}"),
    TEXT,
)
HEADER = st.tuples(
    st.sampled_from(
        ["Authorization", "X-Carob-Class", "X-Carob-Revision", "Idempotency-Key"]
    ),
    st.one_of(
        TEXT,
        st.sampled_from([f"Bearer {KEY_A}", "chat", "0", "9" * 30, "\udcff", "١"]),
    ),
)
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.floats(), TEXT, st.integers()),
    lambda inner: st.one_of(st.lists(inner), st.dictionaries(TEXT, inner)),
    max_leaves=8,
)
BODY = st.one_of(
    st.binary(max_size=60),
    JSON.map(lambda value: json.dumps(value).encode()),
    st.builds(
        lambda model, stream, extra: json.dumps(
            {"model": model, "stream": stream, "messages": extra}
        ).encode(),
        JSON,
        JSON,
        JSON,
    ),
    st.sampled_from(
        [b"[" * 5000, b'{"model":1e999}', b'{"model":"\xff"}', b'{"model":"m1"']
    ),
)


class ApiFuzzTest(unittest.TestCase):
    def setUp(self):
        """Create an entry with settings and without servers."""
        self.runner = asyncio.Runner()
        self.runner.run(self.make_entry())

    def tearDown(self):
        """Close the event loop."""
        self.runner.close()

    async def make_entry(self):
        """Build an entry without starting its streams."""
        options = EntryOptions(
            entry_id="e1", zone="z1", control="127.0.0.1:1", secret=SECRET, http_port=0
        )
        self.entry = EntryProgram(options)
        update = ViewUpdate(complete=True, settings=build_settings())
        self.entry._view_update_handler.apply(update)
        self.entry._dependencies.claim_timeout_s = 0.01

    # The derandomized examples depend on the source text of this test.
    @settings(max_examples=400, deadline=None, derandomize=True, database=None)
    @given(
        method=st.sampled_from(["GET", "POST", "HEAD", "PUT", "DELETE", "BREW"]),
        path=PATH,
        query=TEXT,
        headers=st.lists(HEADER, max_size=4),
        body=BODY,
    )
    def test_any_request(self, method, path, query, headers, body):
        """Any request gets one typed answer that says it did not run."""
        request = HttpRequest(
            method=method, path=path, query=query, headers=tuple(headers), body=body
        )
        responder = RecordingResponder()
        self.runner.run(self.entry._api.handle(request, responder))
        ((status, _, text),) = responder.answers
        if status == 200:
            self.assertIn(path, ("/v1/models", "/healthz", "/readyz", "/metrics"))
            return
        error = json.loads(text)["error"]
        kind = ERROR_KINDS[error["code"]]
        self.assertEqual((kind.status, kind.type), (status, error["type"]))
        if error["code"] != "claim_unavailable":
            self.assertEqual(error["ran"], "not_run")
