"""Sends the announcements of a fake endpoint, with failover of entries."""

import collections.abc

import aiohttp
import msgspec

from apricotthread.base import environment
from apricotthread.endpoints import announcements

ANNOUNCE_S = 0.5
TIMEOUT_S = 1.0


class Announcer:
    """Announces one endpoint to one entry at a time.

    The next announcement goes to the next entry of the list when this one
    cannot be reached, is draining or answers with an error other than 409
    (the announcement was superseded by a newer one).
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        make_announcement: collections.abc.Callable[
            [], announcements.Announcement | None
        ],
        entries: list[str],
        first_entry_index: int,
    ) -> None:
        self._env = env
        self._make_announcement = make_announcement
        self._entries = entries
        self._entry_index = first_entry_index % len(entries)

    async def run(self) -> None:
        """Announce every ANNOUNCE_S seconds until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async for _ in self._env.timer.subscribe(period_s=ANNOUNCE_S):
                announcement = self._make_announcement()
                if announcement is None:
                    continue
                if not await self._send(session, announcement):
                    self._entry_index = (self._entry_index + 1) % len(
                        self._entries
                    )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        announcement: announcements.Announcement,
    ) -> bool:
        """Send one announcement; return whether to stay with this entry."""
        url = f'{self._entries[self._entry_index]}/announcements'
        body = msgspec.json.encode(announcement)
        try:
            async with session.post(url, data=body) as response:
                raw = await response.read()
                if response.status != 200:
                    return response.status == 409
                reply = msgspec.json.decode(
                    raw, type=announcements.AnnouncementReply
                )
                return not (reply.draining and len(self._entries) > 1)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
