import socket
import unittest

from standins.deployment import LOOPBACK, reserve_port


class ReservedPortTests(unittest.TestCase):
    def test_only_a_program_that_knows_the_port_gets_it(self):
        """A reserved port can be listened on, but is not free for others."""
        with reserve_port() as reservation, socket.socket() as program:
            port = reservation.getsockname()[1]
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((LOOPBACK, port))
            program.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            program.bind((LOOPBACK, port))
            program.listen()
            with socket.create_connection((LOOPBACK, port), timeout=5):
                pass
