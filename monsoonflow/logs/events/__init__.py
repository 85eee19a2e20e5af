"""Defines all events that entry nodes log, with their fields.

The names of the classes and fields are written to the log, where tools read them. Times are in
milliseconds. ``cause`` is the reason as text, ``left_ms`` the time until a request's deadline and
``took_ms`` the time since it arrived.
"""

from .cell_leases import (
    DutyInherited,
    DutyLost,
    DutyReleased,
    DutyWon,
    RenewalFailed,
)
from .event import Event
from .fleet import (
    CallersNamed,
    CardRemoved,
    CardWritten,
    LearntFromPeer,
    PeerHeard,
    PeerSilent,
    ReportTooLarge,
    ReportUnread,
    ReportUnsent,
    UnreadableDatagram,
)
from .process import (
    Reloaded,
    Started,
    Stopped,
    Stopping,
    UnusableSettings,
    WasFrozen,
)
from .quarantine import (
    QuarantineLifted,
    RequestQuarantined,
    ServerEnded,
)
from .requests import (
    RequestAccepted,
    RequestEnded,
    RequestSent,
    RequestUnauthorized,
    RequestWaited,
    ServerRefused,
    TryFailed,
)
from .servers import (
    AdapterVersion,
    AddressTaken,
    EarlierLife,
    Order,
    Seats,
    ServerAnswers,
    ServerCame,
    ServerLeaves,
    ServerSilent,
    UnusableReport,
)
from .store import (
    CommitUnclear,
    Configuration,
    HistoryLost,
    MalformedRow,
    StaleRead,
    StoreLost,
    StoreReturned,
    UnusablePeerConfiguration,
    UnusableRow,
)
from .transport import (
    BadMessage,
    HandlerFailed,
    LinesSuppressed,
    LogLinesDropped,
    NotBound,
)

__all__ = [
    "AdapterVersion",
    "AddressTaken",
    "BadMessage",
    "CallersNamed",
    "CardRemoved",
    "CardWritten",
    "CommitUnclear",
    "Configuration",
    "DutyInherited",
    "DutyLost",
    "DutyReleased",
    "DutyWon",
    "EarlierLife",
    "Event",
    "HandlerFailed",
    "HistoryLost",
    "LearntFromPeer",
    "LinesSuppressed",
    "LogLinesDropped",
    "MalformedRow",
    "NotBound",
    "Order",
    "PeerHeard",
    "PeerSilent",
    "QuarantineLifted",
    "Reloaded",
    "RenewalFailed",
    "ReportTooLarge",
    "ReportUnread",
    "ReportUnsent",
    "RequestAccepted",
    "RequestUnauthorized",
    "RequestEnded",
    "RequestQuarantined",
    "RequestSent",
    "RequestWaited",
    "Seats",
    "ServerCame",
    "ServerEnded",
    "ServerAnswers",
    "ServerLeaves",
    "ServerSilent",
    "ServerRefused",
    "StaleRead",
    "Started",
    "Stopped",
    "Stopping",
    "StoreLost",
    "StoreReturned",
    "TryFailed",
    "UnreadableDatagram",
    "UnusablePeerConfiguration",
    "UnusableReport",
    "UnusableRow",
    "UnusableSettings",
    "WasFrozen",
]
