"""Admission of clients on loopback sockets: eviction of silent clients and immediate rejections."""

from __future__ import annotations

from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line


def test_evicts_silent_clients_for_clients_with_requests() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        max_silent = proxy.admission.max_silent
        silent = [proxy.client() for _ in range(max_silent + 2)]
        assert read_line(silent[0]) == read_line(silent[1]) == b"BUSY 500\r\n"
        assert proxy.established_pair()
        assert proxy.admission.used() <= proxy.admission.max_descriptors

    ProxyUnderTest(sockets=64).run(scenario)


def test_rejects_client_immediately_if_nothing_can_be_evicted() -> None:
    def scenario(proxy: ProxyUnderTest) -> None:
        pairs = []
        for at in range(proxy.admission.max_descriptors // 2):
            pairs.append(proxy.client(OPEN.replace(b"1a", b"%x" % at)))
            attempt = proxy.next_attempt()
            read_line(attempt)
            attempt.send(b"UP r1\r\n")
        late = proxy.client(OPEN.replace(b"1a", b"ffff"))
        assert read_line(late).startswith(b"BUSY ")
        pairs[0].close()
        proxy.wait_until(lambda: proxy.admission.used() <= proxy.admission.max_descriptors - 2)
        assert proxy.established_pair()

    ProxyUnderTest(sockets=64).run(scenario)
