"""The times of distribution, seconds: a change is in force within 3 s through two lost datagrams."""

from __future__ import annotations

from msgspec import Struct

TICK = 0.1
POLL_EVERY = 0.4  # with the tries below: a dead parent is left after 1 s at the most
# A poll that is not answered is sent again after this. Not between two ticks: 0.15 s came to 0.2 s, and where
# a third of 27 relays was killed the last of their children had another parent after 1.3 s.
RETRY = 0.1
TRIES = 4  # polls without an answer before another parent is looked for
ACK_EVERY = 0.05  # polls that acknowledge come so far apart at the least
RESEND = 0.15  # a poll that comes this long after a push and does not hold it: the push is sent again
LEASE = 1.5  # a child that is silent for so long is unreachable
PROBE_EVERY = 0.3  # while there is no parent
PROBES = 3  # candidates asked at once
SETTLE_FOR = 2.0  # without a good parent for so long: the best there is will do
PARENT_STALE = 2.5  # a parent that has not heard the origin for so long: another is looked for
OVERTAKEN = 0.5  # a word that tells of less than was pushed so shortly before was on its way already
HOME_EVERY = 20.0  # who is not at the parent it prefers tries that again, this far apart on average
FAILED_FOR, FAILED_MOST = 1.0, 16.0  # a parent that did not answer is passed over, longer each time
BEHIND_AFTER = 1.0  # who is not at the newest revision for so long is named
SETTLED_AFTER = 3.0  # a process that has just started cannot know its children yet
PAUSED = 0.6  # a tick that comes this much late: this process did not run
MOVED_EVERY, MOVED_TRIES = 0.5, 60  # telling another relay that its child is here now
SEEK_EVERY, SEEK_MOST = 1.0, 8.0  # asking the others for a child that does not answer, less often each time
STORE_CHECK = 1.0  # between two looks whether another writer has opened the store


class Timing(Struct, frozen=True):
    """What settings say."""

    stale_after: float = 4.0  # without the origin's word for so long: what is in force may be old
    forget_after: float = 3600.0  # an unreachable child is named for so long
    catch_up_rate: float = 128 * 1024.0  # bytes a second that one subscriber asks for while it catches up
    serve_rate: float = 4 * 1024.0 * 1024.0  # bytes a second that one parent answers with, all together
