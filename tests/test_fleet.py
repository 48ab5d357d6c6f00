"""Tests of the helper that starts fleets of nodes."""

from tests.fakes.fleet import LISTEN_PORTS, free_ports


def test_no_port_is_handed_out_twice(monkeypatch):
    monkeypatch.setattr('tests.fakes.fleet._handed_out', set())
    monkeypatch.setattr('tests.fakes.fleet._is_free', lambda port: True)
    ports = [port for _ in range(500) for port in free_ports(4)]
    assert len(set(ports)) == len(ports)
    assert all(LISTEN_PORTS[0] <= port < LISTEN_PORTS[1] for port in ports)
