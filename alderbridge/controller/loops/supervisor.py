"""Restarts background loops after failures."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import curio
import msgspec

from alderbridge import constants
from alderbridge.state.errors import StoreRefusedError, TransactionTooLargeError, UnreadableRecordError
from alderbridge.transport.errors import UnansweredError

log = logging.getLogger("controller")


async def run_forever(loop: Callable[[], Awaitable[None]]) -> None:
    """Run ``loop`` repeatedly, ``ROUND_INTERVAL_S`` apart; exceptions are logged and do not end the process."""
    name = loop.__name__
    while True:
        try:
            await loop()
        except (StoreRefusedError, TransactionTooLargeError, UnansweredError) as error:
            log.info("loop=%s state=interrupted cause=%s", name, error)
        except (UnreadableRecordError, msgspec.DecodeError) as error:
            log.error("loop=%s state=interrupted cause=%s", name, error)
            await curio.sleep(constants.STORE_BACKOFF_S)  # the retry will probably read the same record
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("loop=%s state=failed", name)
        await curio.sleep(constants.ROUND_INTERVAL_S)
