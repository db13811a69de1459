"""A virtual-time event loop in which every callback belongs to a machine.

async-solipsism provides the virtual clock.  In addition, each callback carries the machine that
scheduled it in its context: a paused machine's callbacks are held until it resumes, a crashed
machine's are dropped.  Unmodified node code can thus be paused and killed.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import async_solipsism

MACHINE: contextvars.ContextVar[Machine | None] = contextvars.ContextVar("machine", default=None)


class MachineCallback:
    """A callback that runs only while its machine does."""

    __slots__ = ("callback", "handle", "machine")

    def __init__(self, machine: Machine, callback: Callable[..., object]) -> None:
        """Wrap ``callback``."""
        self.machine = machine
        self.callback = callback
        self.handle: asyncio.Handle | None = None

    def __call__(self, *arguments: object) -> None:
        """Run, hold or drop the callback."""
        if self.machine.crashed:
            return
        if self.machine.paused:
            self.machine.held.append((self, arguments, contextvars.copy_context()))
            return
        self.callback(*arguments)

    def resumed(self, *arguments: object) -> None:
        """Run a held callback unless it has been cancelled since."""
        if self.handle is None or not self.handle.cancelled():
            self(*arguments)


class MachineTimer(MachineCallback):
    """A timer on its machine's monotonic clock, which may be frozen while the timer is pending."""

    __slots__ = ("loop", "observed_frozen_s")

    def __init__(
        self, machine: Machine, callback: Callable[..., object], loop: MachineLoop
    ) -> None:
        """Wrap ``callback``."""
        super().__init__(machine, callback)
        self.loop = loop
        self.observed_frozen_s = loop.clock_frozen_s(machine)

    def __call__(self, *arguments: object) -> None:
        """Run, hold or drop the callback, or delay it by the time that the clock was frozen."""
        machine = self.machine
        if self.handle is not None and self.handle.cancelled():
            return
        late_s = self.loop.clock_frozen_s(machine) - self.observed_frozen_s
        if machine.crashed or machine.paused or not late_s:
            super().__call__(*arguments)
        else:
            self.observed_frozen_s = self.loop.clock_frozen_s(machine)
            self.loop.call_at_true_time(late_s, self, arguments)


@dataclass(eq=False)
class Machine:
    """One simulated machine; each start of a process gets a new one.

    :param wall_offset_s: offset of its wall clock from true time, seconds.
    :param clock_frozen_s: total time for which its monotonic clock has been frozen, seconds.
    """

    name: str
    zone: str
    region: str
    wall_offset_s: float = 0.0
    clock_frozen_s: float = 0.0
    paused: bool = False
    crashed: bool = False
    held: list[tuple[MachineCallback, tuple[object, ...], contextvars.Context]] = field(
        default_factory=list
    )
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    context: contextvars.Context = field(default_factory=contextvars.copy_context)

    def __post_init__(self) -> None:
        """Bind everything started in the context to this machine."""
        self.context.run(MACHINE.set, self)

    def pause(self) -> None:
        """Hold all callbacks, as SIGSTOP does."""
        self.paused = True

    def resume(self, loop: asyncio.AbstractEventLoop, frozen_s: float = 0.0) -> None:
        """Run the held callbacks, in the order in which they were held.

        :param frozen_s: for how long the monotonic clock was frozen, seconds.
        """
        self.paused = False
        self.clock_frozen_s += frozen_s
        held, self.held = self.held, []
        for callback, arguments, context in held:
            if callback.handle is None or not callback.handle.cancelled():
                loop.call_soon(callback.resumed, *arguments, context=context)

    def crash(self) -> None:
        """Drop all callbacks; tasks stay referenced so that none of their clean-up code runs."""
        self.crashed = True
        self.held.clear()


class MachineLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """Virtual time; callbacks are bound to the machine of their context.

    :cvar counts_suspensions: whether a machine's clock advances while the machine is suspended, as
        that of the product's own event loop does; if not, it is frozen, as the kernel's monotonic
        clock is.
    """

    counts_suspensions = False

    def time(self) -> float:
        """Return the monotonic time of the calling machine, seconds."""
        machine = MACHINE.get()
        now: float = super().time()
        return now if machine is None else now - self.clock_frozen_s(machine)

    def clock_frozen_s(self, machine: Machine) -> float:
        """Return for how long a machine's clock has been frozen, seconds."""
        return 0.0 if self.counts_suspensions else machine.clock_frozen_s

    def true_time(self) -> float:
        """Return seconds since the start of the run, independent of the calling machine."""
        return float(super().time())

    def call_at_true_time(
        self, delay_s: float, callback: MachineCallback, arguments: tuple[object, ...]
    ) -> None:
        """Schedule a wrapped callback after a delay that does not depend on any machine's clock."""
        super().call_at(super().time() + delay_s, callback, *arguments)

    def deliver(
        self,
        delay_s: float,
        context: contextvars.Context,
        callback: Callable[..., object],
        *args: object,
    ) -> None:
        """Schedule an external arrival in true time; a paused machine holds it."""
        if self.is_closed():
            return
        machine = context.get(MACHINE)
        target = callback if machine is None else MachineCallback(machine, callback)
        super().call_at(super().time() + delay_s, target, *args, context=context)

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule for the machine of ``context``, by default for the calling machine."""
        if self.is_closed():
            # Tasks of ended machines are garbage-collected after the run; their calls are ignored.
            return asyncio.Handle(callback, args, self, context)
        machine = MACHINE.get() if context is None else context.get(MACHINE)
        if machine is None:
            plain: asyncio.Handle = super().call_soon(callback, *args, context=context)
            return plain
        guarded = MachineCallback(machine, callback)
        guarded.handle = super().call_soon(guarded, *args, context=context)
        return guarded.handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule for the machine of ``context``, by default for the calling machine."""
        if self.is_closed():
            return asyncio.TimerHandle(when, callback, args, self, context)
        machine = MACHINE.get() if context is None else context.get(MACHINE)
        if machine is None:
            plain: asyncio.TimerHandle = super().call_at(when, callback, *args, context=context)
            return plain
        guarded = MachineTimer(machine, callback, self)
        true_when = when + self.clock_frozen_s(machine)
        handle: asyncio.TimerHandle = super().call_at(true_when, guarded, *args, context=context)
        guarded.handle = handle
        return handle

    def create_task(self, coro: Coroutine[Any, Any, Any], **options: Any) -> asyncio.Task[Any]:
        """Create a task to which its machine keeps a reference."""
        context: contextvars.Context | None = options.get("context")
        machine = MACHINE.get() if context is None else context.get(MACHINE)
        task: asyncio.Task[Any] = super().create_task(coro, **options)
        if machine is not None:
            machine.tasks.add(task)
            task.add_done_callback(machine.tasks.discard)
        return task
