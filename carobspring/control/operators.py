"""Operators' tokens, stored as salted hashes."""

from collections.abc import Mapping

from carobspring.domain.errors import InvalidValueError, check_name
from carobspring.ports import HttpRequest
from carobspring.settings import hash_key, matches_key
from carobspring.settings.keys import KEY_HASH_PATTERN

BEARER_PREFIX = "Bearer "
#: The operator's name in the audit trail for the token given in plain text.
DEFAULT_OPERATOR = "operator"


class OperatorTokens:
    """Identifies operators by their tokens.

    Args:
        hashes: Salted hashes of the tokens by operator's name.
    """

    def __init__(self, *, hashes: Mapping[str, str]) -> None:
        self._hashes = dict(hashes)

    def identify(self, request: HttpRequest) -> str | None:
        """Return the name of the operator whose token a request carries."""
        header = request.find_header("authorization") or ""
        if not header.startswith(BEARER_PREFIX):
            return None
        token = header[len(BEARER_PREFIX) :].strip()
        operator = None
        # All hashes are compared, so the response time does not reveal which
        # one matched.
        for name, token_hash in self._hashes.items():
            if matches_key(token, token_hash):
                operator = name
        return operator


def parse_operator_tokens(*, operators: str, operator_token: str) -> OperatorTokens:
    """Return the tokens given by the program's flags.

    Args:
        operators: Comma-separated ``NAME=HASH`` pairs, as
            ``carobctl operator new NAME`` prints them.
        operator_token: A token in plain text, for the operator named
            "operator".

    Raises:
        InvalidValueError: A pair is malformed, or there is no operator.
    """
    hashes: dict[str, str] = {}
    for pair in filter(None, operators.split(",")):
        name, _, token_hash = pair.strip().partition("=")
        check_name("operators", name)
        if KEY_HASH_PATTERN.fullmatch(token_hash) is None:
            expected = "NAME=HASH as `carobctl operator new NAME` prints it"
            raise InvalidValueError(field="operators", value=name, expected=expected)
        hashes[name] = token_hash
    if operator_token:
        hashes[DEFAULT_OPERATOR] = hash_key(operator_token)
    if not hashes:
        expected = "at least one operator: set --operators or --operator-token"
        raise InvalidValueError(field="operators", value="", expected=expected)
    return OperatorTokens(hashes=hashes)
