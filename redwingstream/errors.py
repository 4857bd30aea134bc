"""Numbered result codes and the exceptions that carry them.

Every process exits with one of these codes, and every refusal that an operator
or a peer receives gives one.  A test checks that ``docs/result-codes.md`` lists
all codes of this module.
"""

import enum


class ResultCode(enum.IntEnum):
    """Numbered outcome of a call, a request or a whole process.

    Notes
    -----
    Numbers are part of the public interface and are never reused.  0 to 19
    concern a process, 20 to 39 operators' changes, 40 to 59 callers' traffic,
    60 to 79 messages between processes, 80 to 99 durable state.
    """

    OK = 0
    INTERNAL = 1
    BAD_SETTING = 2
    KEY_FILE_OPEN = 3
    ADDRESS_IN_USE = 4
    DEMONSTRATION_FAILED = 5

    CONFLICT = 20
    REQUEST_ID_REUSED = 21
    POOL_IN_USE = 22
    MISSING_POOL = 23
    UNKNOWN_ROW = 24
    BAD_ROW = 25
    NOT_IN_FORCE = 26

    NO_ROUTE = 40
    NO_POOL = 41
    NO_SERVER = 42
    OVERLOADED = 43
    ZONE_OUT = 44
    DRAINING = 45
    LEDGER_FULL = 46
    RECOVERING = 47
    OUTCOME_UNKNOWN = 48
    DEADLINE_PASSED = 49

    NOT_LEADER = 60
    NO_QUORUM = 61
    TIMED_OUT = 62
    MALFORMED = 63
    UNAUTHENTIC = 64
    REPLAYED = 65
    STALE = 66

    DISK_FULL = 80
    DISK_FAILED = 81
    DATA_DAMAGED = 82
    DATA_MISSING = 83
    DATA_VERSION = 84


class RedwingstreamError(Exception):
    """Base class of all errors that this package raises deliberately.

    Parameters
    ----------
    message : str
        What was found, what is allowed and how to resolve the error.
    code : ResultCode, optional
        The result code; each subclass has a default.
    """

    default_code = ResultCode.INTERNAL

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        self.code = type(self).default_code if code is None else code


class SettingError(RedwingstreamError):
    """A flag or an environment variable has a value that is not allowed."""

    default_code = ResultCode.BAD_SETTING


class EndpointError(RedwingstreamError):
    """An endpoint of this process cannot be bound."""

    default_code = ResultCode.ADDRESS_IN_USE


class WireError(RedwingstreamError):
    """A frame is rejected: malformed, not authentic or replayed."""

    default_code = ResultCode.MALFORMED


class CallFailedError(RedwingstreamError):
    """A call to another process got no answer or was refused."""

    default_code = ResultCode.TIMED_OUT


class ChangeRefusedError(RedwingstreamError):
    """A change by an operator was not accepted."""

    default_code = ResultCode.CONFLICT


class StorageError(RedwingstreamError):
    """Durable state cannot be read or written."""

    default_code = ResultCode.DISK_FAILED
