"""TLS on callers', operators' and nodes' ports."""

from __future__ import annotations

import datetime
import ipaddress
import ssl
import time
from pathlib import Path

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from monsoonflow.client import Client
from monsoonflow.helpers.http import HttpClient
from monsoonflow.rpc import control_pb2 as pb
from monsoonflow.rpc.client import ControlClient
from script.fleet import NODE_TOKEN, Fleet, customer_key, wait_until
from stand_ins.text import expected_text

pytestmark = pytest.mark.processes


class Authority:
    """Signs certificates for the loopback address."""

    def __init__(self, folder):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self._sign("authority", self.key.public_key(), self.key, is_ca=True)
        self.path = folder / "authority.pem"
        self.path.write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name):
        """Write a new key and certificate; return their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key.public_key(), self.key, is_ca=False)
        cert_path, key_path = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        cert_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return str(cert_path), str(key_path)

    def _sign(self, name, public_key, signer, is_ca):
        now = datetime.datetime.now(datetime.UTC)
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=5))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_ca, None), critical=True)
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        )
        return builder.sign(signer, hashes.SHA256())


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


@pytest.fixture
def secure(tmp_path, authority):
    fleet = Fleet(tmp_path / "logs", loads_per_second=20)
    fleet.start_platform()
    fleet.start_runner("m0")
    for name in ("n1", "n2"):
        cert, key = authority.issue(name)
        fleet.start_node(name, tls_cert=cert, tls_key=key, tls_authority=str(authority.path))
    context = ssl.create_default_context(cafile=str(authority.path))
    fleet.http = HttpClient(10_000, context)
    plain_url = fleet.url
    fleet.url = lambda name: (
        plain_url(name).replace("http:", "https:") if name in ("n1", "n2") else plain_url(name)
    )
    yield fleet, context
    fleet.close()


def certificate_of(address):
    """Return the certificate that a port shows."""
    host, _, port = address.partition(":")
    return ssl.get_server_certificate((host, int(port)))


def test_nodes_speak_tls_and_take_renewed_certificates(secure, authority):
    """A certificate is renewed on disk while the node runs.

    New connections see the new one within seconds; requests relayed between nodes go on.
    """
    fleet, context = secure
    fleet.await_nodes("n1", "n2")
    fleet.apply_runners("n1")
    fleet.bring_in("n1", "acme", 2)
    fleet.await_in_force("n1", "n2")
    fleet.await_owned()
    client = Client([fleet.url("n1"), fleet.url("n2")], customer_key("acme"), tls=context)
    reply = client.complete("acme-0", "secret", 4)
    assert reply.text == expected_text("acme-0@2", "secret", 4), reply
    address = fleet.address_by_name["n1"]
    before = certificate_of(address)
    time.sleep(1.1)
    authority.issue("n1")
    wait_until(lambda: certificate_of(address) != before, 10, "the renewed certificate")
    assert client.complete("acme-1", "again", 4).done


def test_control_port_refuses_callers_without_a_certificate(secure, authority):
    fleet, _ = secure
    fleet.await_nodes("n1", "n2")
    rpc = next(
        row[1]["rpc"]
        for row in [
            (entry["key"], entry["value"])
            for entry in fleet.get("table", "/rows?prefix=lease/")["rows"]
        ]
    )
    anonymous = grpc.ssl_channel_credentials(authority.path.read_bytes())
    assert ControlClient(NODE_TOKEN, anonymous).heartbeat(rpc, pb.NodeReport()) is None
    assert ControlClient(NODE_TOKEN).heartbeat(rpc, pb.NodeReport()) is None
    cert, key = authority.issue("other")
    proven = grpc.ssl_channel_credentials(
        authority.path.read_bytes(), Path(key).read_bytes(), Path(cert).read_bytes()
    )
    assert ControlClient(NODE_TOKEN, proven).heartbeat(rpc, pb.NodeReport()) is not None
    assert ControlClient("x" * 20, proven).heartbeat(rpc, pb.NodeReport()) is None
