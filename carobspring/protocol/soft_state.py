"""Encoding and decoding of soft state, without the items that can't be used.

A batch of soft state carries what several writers said. An item that can't be
encoded, or that the reader rejects, must not keep the others from arriving:
it is left out and logged. Commands of the log and calls are no soft state;
they are used whole or not at all.
"""

import functools
import logging
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from types import NoneType, UnionType
from typing import Any, Final, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from carobspring.domain import DomainError

#: What decoding may raise, whatever bytes another process has written.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    DomainError,
    OverflowError,
    RecursionError,
    UnicodeError,
)
_ENCODE_ERRORS: Final = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
#: Kinds of items left out that are logged, each of them once.
MAX_LOGGED: Final = 100
#: Characters of a reason that are logged.
MAX_REASON_LENGTH: Final = 300

Message = TypeVar("Message")

logger = logging.getLogger(__name__)

_logged: set[tuple[str, str]] = set()


class SoftState:
    """The base class of messages whose items are independent of each other."""


def encode_soft_state(message: Any) -> bytes:
    """Return a message as MessagePack, without items that can't be encoded.

    Args:
        message: A data class, or a mapping of its fields.

    Raises:
        OverflowError, TypeError, ValueError: A field that holds no items can't
            be encoded.
    """
    try:
        return msgspec.msgpack.encode(message)
    except _ENCODE_ERRORS:
        return msgspec.msgpack.encode(_select_encodable(message, "message"))


def decode_soft_state(data: bytes, message_type: type[Message]) -> Message:
    """Return the message that the bytes encode, without unreadable items.

    Raises:
        MsgspecError, DomainError, OverflowError, RecursionError, UnicodeError:
            The bytes are no message, or a field that holds no items can't be
            read; see DECODE_ERRORS.
    """
    message: Message = _decode_value(data, message_type, message_type.__name__)
    return message


@functools.cache
def get_decoder(value_type: Any) -> msgspec.msgpack.Decoder[Any]:
    """Return the cached decoder of a type."""
    return msgspec.msgpack.Decoder(value_type)


def _select_encodable(value: Any, place: str) -> Any:
    """Return a value, or a copy without the items that can't be encoded."""
    try:
        msgspec.msgpack.encode(value)
        return value
    except _ENCODE_ERRORS:
        if is_dataclass(value):
            place = type(value).__name__
            return {
                each.name: _select_encodable(
                    getattr(value, each.name), f"{place}.{each.name}"
                )
                for each in fields(value)
            }
        if isinstance(value, tuple | list):
            return [
                item
                for each in value
                for item in _try_item(_select_encodable, each, place)
            ]
        if isinstance(value, Mapping):
            return {
                key: item
                for key, each in value.items()
                for item in _try_item(_select_encodable, each, place)
            }
        raise


def _decode_value(data: bytes | msgspec.Raw, value_type: Any, place: str) -> Any:
    """Decode a value, item by item if it can't be decoded as a whole."""
    try:
        return get_decoder(value_type).decode(data)
    except DECODE_ERRORS:
        value_type = _remove_none(value_type)
        if is_dataclass(value_type):
            return _decode_fields(data, value_type)
        arguments = get_args(value_type)
        if get_origin(value_type) is tuple and arguments[1:] == (...,):
            raws = get_decoder(list[msgspec.Raw]).decode(data)
            return tuple(
                item
                for raw in raws
                for item in _try_item(_decode_value, raw, arguments[0], place)
            )
        if get_origin(value_type) in (dict, Mapping):
            raw_items = get_decoder(dict[str, msgspec.Raw]).decode(data)
            return {
                key: item
                for key, raw in raw_items.items()
                for item in _try_item(_decode_value, raw, arguments[1], place)
            }
        raise


def _decode_fields(data: bytes | msgspec.Raw, message_type: Any) -> Any:
    raws = get_decoder(dict[str, msgspec.Raw]).decode(data)
    types = get_type_hints(message_type)
    values = {
        each.name: _decode_value(
            raws[each.name], types[each.name], f"{message_type.__name__}.{each.name}"
        )
        for each in fields(message_type)
        if each.name in raws
    }
    try:
        return message_type(**values)
    except TypeError as error:
        raise msgspec.ValidationError(str(error)) from error


def _remove_none(value_type: Any) -> Any:
    """Return the other type of a field that may be None."""
    if get_origin(value_type) not in (Union, UnionType):
        return value_type
    others = [each for each in get_args(value_type) if each is not NoneType]
    return others[0] if len(others) == 1 else value_type


def _try_item(convert: Callable[..., Any], *arguments: Any) -> tuple[Any, ...]:
    """Return the converted item, or nothing if it can't be used."""
    try:
        return (convert(*arguments),)
    except (*DECODE_ERRORS, TypeError, ValueError) as error:
        _log_left_out(arguments[-1], error)
        return ()


def _log_left_out(place: str, error: Exception) -> None:
    kind = (place, type(error).__name__)
    if kind in _logged or len(_logged) >= MAX_LOGGED:
        return
    _logged.add(kind)
    extra = {"field": place, "reason": str(error)[:MAX_REASON_LENGTH]}
    logger.error("unusable item left out", extra=extra)
