"""Passes events to a controller and executes its actions, for every core that has a Controller."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from ..decide import Controller
from ..interface import Action, Event


class ControllerDriver:
    """Call it with an event. Events that are raised while actions are executed are handled after them, not nested. An
    action without a handler is an error.
    """

    def __init__(
        self, controller: Callable[[], Controller], handlers: Mapping[type, Callable[[int, Action], None]]
    ) -> None:
        self._controller, self._handlers = controller, handlers
        self._queue: deque[Event] = deque()
        self._draining = False

    def __call__(self, now: int, event: Event) -> None:
        """Queue an event and, unless already running, handle all queued events. Raises KeyError for an action without
        a handler.
        """
        self._queue.append(event)
        if self._draining:
            return
        self._draining = True
        try:
            while self._queue:
                for action in self._controller().handle(now, self._queue.popleft()):
                    self._handlers[type(action)](now, action)
        finally:
            self._draining = False
