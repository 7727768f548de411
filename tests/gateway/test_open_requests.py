import unittest

from carobspring.gateway.open_requests import OpenRequest, OpenRequests


class OpenRequestsTests(unittest.TestCase):
    def test_oldest_first(self):
        """Requests are listed by arrival, up to a count, until they end."""
        requests = OpenRequests()
        first = requests.add("a", 1.0)
        requests.add("a", 2.0)
        requests.add("b", 3.0)
        expected = (
            OpenRequest(request_id="a", arrived_at=1.0),
            OpenRequest(request_id="a", arrived_at=2.0),
        )
        self.assertEqual(requests.list_oldest(2), expected)
        requests.remove(first)
        self.assertEqual(len(requests), 2)
        self.assertEqual(requests.list_oldest(1), expected[1:])
