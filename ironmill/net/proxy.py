"""One proxy: puts scheduler, gateway and drivers together and runs them."""

from __future__ import annotations

import logging
import random
import resource
import signal
import socket
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ironmill.configuration.proxy_config import Address, Config
from ironmill.net.client import ClientDriver
from ironmill.net.discovery import Discovery
from ironmill.net.drain import Drain
from ironmill.net.listener import Listener
from ironmill.net.probe import ProbeDriver
from ironmill.net.reload import Reload, no_operator
from ironmill.net.shutdown import Shutdown
from ironmill.net.signals import Signals
from ironmill.net.sockets import Stream
from ironmill.requests.admission import Admission
from ironmill.requests.discovery_backoff import CallPace
from ironmill.requests.gateway import Gateway
from ironmill.runtime import logs
from ironmill.runtime.gc_schedule import Collector
from ironmill.runtime.lifecycle import Event, Lifecycle
from ironmill.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # what is off is not imported
    from ironmill.configuration.operator_files import Operator
    from ironmill.configuration.settings.model import DistributionSettings
    from ironmill.identity.callers import Callers
    from ironmill.identity.keyring import KeyRing
    from ironmill.net.control import Control
    from ironmill.net.distribution import Distribution
    from ironmill.net.membership import Membership

# Clients wait so long at the most for the first answer of discovery, seconds. Guards the rule on draining
# servers: what the agent holds counts as told from the process's start, 0.25 s before. Of 132 proxies
# that started together four sent by the list they were started with. A silent agent has nothing to tell.
FIRST_ANSWER_WAIT = 0.5
# The same where another process serves at the address meanwhile: it has 6 s, and what discovery told counts
# as told 2 s after it has said yes.
SUCCESSOR_WAIT = 3.0

# The new process has 6 s to say yes; then the old one is told to end, and gets nothing new (DAYS). What the
# two read of the clock may differ by a little.
SUCCESSION_MOST = 6.5

log = logging.getLogger("ironmill")


class Proxy:
    """Listens once it is made; serves until it is told to end."""

    def __init__(
        self,
        config: Config,
        signals: Signals,
        read_again: Callable[[], Config],
        poller: str = "epoll",
        operator: Operator | None = None,
        read_operator: Callable[[Config], Operator | None] = no_operator,
    ) -> None:
        self._config = config
        self._signals = signals
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < config.sockets:
            most = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
        self.scheduler = Scheduler(poller)
        self.lifecycle = Lifecycle()
        self.gateway = Gateway(config, self.scheduler, self.lifecycle)
        self.gateway.prober = ProbeDriver(
            self.scheduler, config.connect_timeout, self.gateway.probed, self._dial
        )
        self.listener = Listener(self.scheduler, config.listen, self._take, at_once=False, shared=True)
        if self.listener.succeeds:
            self.gateway.succeed(SUCCESSION_MOST)
        pace = partial(
            CallPace,
            config.settings.relays,
            random.Random(config.seed),
            config.settings.ask_discovery,
            first_at_once=self.listener.succeeds,
        )
        known = config.known.revision if config.known.listed else None
        self.discovery = Discovery(
            self.scheduler,
            config.discovery,
            self.gateway.routing,
            pace,
            known,
            self._open,
            self.gateway.known_servers,
        )
        self.admission = Admission(config.sockets)
        self.callers: Callers | None = None
        self._operator = operator
        if operator is not None and operator.settings.identity is not None and operator.ring is not None:
            from ironmill.identity.callers import Callers
            from ironmill.net.keywatch import KeyWatch

            self.callers = Callers(operator.settings.identity, operator.ring, self.scheduler)
            self._watch = KeyWatch(self.scheduler, operator.settings.identity.keys, self._take_ring)
            self._watch.start()
        self.reload = Reload(
            config,
            read_again,
            self.discovery.watch_at,
            read_operator,
            self._take_operator,
            self.scheduler.sleep,
        )
        self.membership: Membership | None = None
        if operator is not None and operator.settings.membership is not None:
            from ironmill.net.membership import Membership

            self.membership = Membership(
                self.scheduler, config.name, operator.settings.membership, operator.member_keys
            )
        self.distribution: Distribution | None = None
        if operator is not None and operator.settings.distribution is not None:
            self._take_part(operator, operator.settings.distribution)
        self.control: Control | None = None
        if config.control is not None:
            from ironmill.administration.proxy_api import Staff
            from ironmill.net.control import Control

            staff = Staff(self.gateway)
            if self.membership is not None:
                staff.add("/admin/members", {"GET": self.membership.shown})
            if self.distribution is not None:
                from ironmill.administration.configuration_api import ConfigurationCalls

                assert self.distribution.node is not None
                ConfigurationCalls(self.distribution.node, None, self.distribution.origins).add_to(staff)
                staff.more_of_health = self.distribution.health
            self.control = Control(self.scheduler, config.control, staff)
        self.tls_listener: Listener | None = None
        if operator is not None and operator.settings.tls is not None and operator.tls is not None:
            from ironmill.net.tls import TlsStream

            def make(scheduler: Scheduler, sock: socket.socket) -> Stream:
                # The context of now: a certificate that was replaced is shown from the next connection on.
                assert self._operator is not None
                assert self._operator.tls is not None
                return TlsStream(scheduler, sock, self._operator.tls.context)

            self.tls_listener = Listener(
                self.scheduler,
                operator.settings.tls.listen,
                self._take,
                make,
                at_once=False,
                shared=True,
            )

    def serve(self) -> None:
        """Run until SIGTERM or SIGINT has been dealt with."""
        Drain(self.scheduler, self.gateway, keeps=self._config.packets_pass)
        if self.control is not None:
            self.control.start()
            log.info("staff call at %s:%d", *self.control.address)
        if self.membership is not None:
            self.membership.start()
        if self.distribution is not None:
            self.distribution.start()
        self.discovery.start()
        self.scheduler.call_later(self._first_answer_wait(), self._open)
        shutdown = Shutdown(self.scheduler, self.gateway, self, self._config, self.admission, self.control)
        self._signals.on(signal.SIGHUP, self.reload.run)
        self._signals.on(signal.SIGTERM, shutdown.run)
        self._signals.on(signal.SIGINT, shutdown.run)
        self._signals.start(self.scheduler)
        Collector(self.scheduler, self.gateway.held).start()
        log.info("listening on %s:%d", *self.listener.address)
        if self.listener.succeeds:
            log.info("another process listens there: clients come here too once discovery has answered")
        if self.tls_listener is not None:
            log.info("listening for TLS on %s:%d", *self.tls_listener.address)
        log.info("of %d descriptors %d are for clients", self._config.sockets, self.admission.most)
        self.scheduler.run()

    def _first_answer_wait(self) -> float:
        if self.listener.succeeds:
            return SUCCESSOR_WAIT
        # Where discovery must be asked nothing counts as told before it was written, and the first call of a
        # crowd is spread over seconds. Guards clients of proxies that were killed together: ten of fourteen
        # listened 0.5 s before they took anybody, and in the meantime nobody else did.
        return 0.0 if self._config.settings.ask_discovery else FIRST_ANSWER_WAIT

    def _open(self) -> None:
        """Discovery has answered once, or does not: take what clients come."""
        self.listener.start()
        if self.tls_listener is not None:
            self.tls_listener.start()
        self.lifecycle.tell(Event.OPENED)

    def give_way(self) -> None:
        """Leave new connections to a process that was started after this one, if there is one."""
        self.listener.give_way()
        if self.tls_listener is not None:
            self.tls_listener.give_way()

    def close(self, within: float = 0.0) -> None:
        """Take no more connections, and be no member any more. ``within``: as of ``Listener.close``."""
        if self.membership is not None:
            self.membership.leave()
        if self.distribution is not None:
            self.distribution.leave()
        self.listener.close(within)
        if self.tls_listener is not None:
            self.tls_listener.close(within)

    def _take(self, stream: Stream) -> None:
        ClientDriver(
            self.scheduler, self.gateway, self._config, self.admission, stream, self.callers, self._dial
        ).start()

    def _dial(self, address: Address, timeout: float) -> Stream:
        """A connection to a server, with TLS on it where the settings of now ask for that."""
        stream = Stream.connect(self.scheduler, address, timeout)
        operator = self._operator
        if operator is None or operator.upstream is None or operator.settings.upstream is None:
            return stream
        from ironmill.net.tls import TlsStream

        name = operator.settings.upstream.name or address[0]
        return TlsStream.over(self.scheduler, stream, operator.upstream, name)

    def _take_ring(self, ring: KeyRing) -> None:
        if self.callers is not None:
            self.callers.replace(self.callers.gate.identity, ring)

    def _take_part(self, operator: Operator, settings: DistributionSettings) -> None:
        """Take configuration from the control machines from now on."""
        from ironmill.configuration.distributed_keys import Configuration
        from ironmill.net.distribution import Distribution

        self.distribution = Distribution(
            self.scheduler, self._config.name, settings, operator.distribution_keys
        )
        self.configuration = Configuration(self.callers)
        self.distribution.use_proxy_node(self.configuration)

    def _take_distribution(self, operator: Operator) -> None:
        """Keys are replaced at once; where configuration comes from takes a restart."""
        settings, mine = operator.settings.distribution, self.distribution
        if (settings is None) is not (mine is None) or (mine is not None and settings != mine.settings):
            log.warning("reload: takes a restart: distribution")
        if mine is not None and operator.distribution_keys:
            mine.codec.keys = operator.distribution_keys

    def _take_membership(self, operator: Operator) -> None:
        """Keys are replaced at once; where and with whom this proxy is a member takes a restart."""
        settings, mine = operator.settings.membership, self.membership
        if (settings is None) is not (mine is None) or (mine is not None and settings != mine.settings):
            log.warning("reload: takes a restart: membership")
        if mine is not None and operator.member_keys:
            mine.codec.keys = operator.member_keys

    def _take_operator(self, operator: Operator) -> None:
        """Other settings: what they say of callers holds from now on, for whoever shows a credential next."""
        old = self._operator
        if old is None:
            return
        from dataclasses import replace  # here, for the start is short without it

        old_listen = None if old.settings.tls is None else old.settings.tls.listen
        new_listen = None if operator.settings.tls is None else operator.settings.tls.listen
        if old_listen != new_listen:
            log.warning("reload: takes a restart: tls listen")
            operator = replace(operator, tls=old.tls)
        elif old.tls is not None and operator.tls is not None and old.tls.digest == operator.tls.digest:
            operator = replace(operator, tls=old.tls)  # the same files: sessions go on being resumed
        self._operator = operator
        self._take_membership(operator)
        self._take_distribution(operator)
        if old.settings.log != operator.settings.log:
            logs.set_up(self._config.name, operator.settings.log)
        identity = operator.settings.identity
        if (identity is None) is not (self.callers is None):
            log.warning("reload: takes a restart: identity was not there before, or is there no more")
        elif identity is not None and operator.ring is not None and self.callers is not None:
            self._watch.path = identity.keys
            self.callers.replace(identity, operator.ring)
