"""Events by which the HTTP server ends connections in order.

Circuits turns each piece of an answer into a write event when it handles it.
These events are handled after the pieces that were fired before them, and the
close that they fire comes after those writes.
"""

from circuits import Event


class end_writes(Event):
    """Closes a connection once what was handed over is sent."""


class end_sending(Event):
    """Sends the end of the stream and leaves the close to the caller."""


class shut(Event):
    """Ends sending once the buffered bytes are sent."""
