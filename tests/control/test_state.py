import asyncio
import unittest
import unittest.mock

from carobspring.control.state import StreamNotifier


class RecordingEvent(asyncio.Event):
    """An event that records its name when it is set."""

    def __init__(self, name: int, names: list[int]) -> None:
        super().__init__()
        self._name = name
        self._names = names

    def set(self) -> None:
        self._names.append(self._name)
        super().set()


class StreamNotifierTests(unittest.TestCase):
    def test_order_of_subscription(self):
        """Streams are notified in the order in which they subscribed."""
        notifier = StreamNotifier()
        names: list[int] = []
        with unittest.mock.patch.object(
            asyncio, "Event", lambda: RecordingEvent(len(events), names)
        ):
            events: list[asyncio.Event] = []
            for _ in range(100):
                events.append(notifier.subscribe())
        notifier.unsubscribe(events[40])
        notifier.notify_all()
        self.assertEqual(names, [n for n in range(100) if n != 40])
        self.assertEqual(notifier.count_streams(), 99)
