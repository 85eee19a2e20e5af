"""Loads certificates and takes renewed ones without a restart."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

import attrs
import grpc


@dataclass(frozen=True, slots=True)
class TlsProblem:
    """Tells why certificates can't be used, in one line."""

    reason: str


@attrs.define(slots=True)
class Certificates:
    """A node's certificate, key and authority, as files.

    :param authority: checks the other nodes' certificates.
    """

    cert: str
    key: str
    authority: str
    stamp: tuple[float, ...] = ()

    def read(self) -> tuple[bytes, bytes, bytes]:
        """Return key, certificate chain and authority as PEM."""
        return (
            Path(self.key).read_bytes(),
            Path(self.cert).read_bytes(),
            Path(self.authority).read_bytes(),
        )

    def changed(self) -> bool:
        """Tell whether a file has changed since the last look."""
        stamp = tuple(Path(name).stat().st_mtime for name in (self.cert, self.key, self.authority))
        changed = stamp != self.stamp
        self.stamp = stamp
        return changed


class TlsContexts:
    """The contexts of a node's HTTP side; new connections use what was loaded last."""

    def __init__(self, certificates: Certificates) -> None:
        self._certificates = certificates
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.server.minimum_version = ssl.TLSVersion.TLSv1_2
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.client.load_verify_locations(certificates.authority)
        self.load()
        certificates.changed()

    def load(self) -> None:
        """Load the certificate and key from their files."""
        self.server.load_cert_chain(self._certificates.cert, self._certificates.key)
        self.client.load_cert_chain(self._certificates.cert, self._certificates.key)

    def server_credentials(self) -> grpc.ServerCredentials:
        """Return credentials for control calls: callers must prove themselves; renewed by file."""

        def fetch() -> grpc.ServerCertificateConfiguration:
            key, chain, authority = self._certificates.read()
            return grpc.ssl_server_certificate_configuration([(key, chain)], authority)

        return grpc.dynamic_ssl_server_credentials(
            fetch(), fetch, require_client_authentication=True
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Return credentials to call other nodes with."""
        key, chain, authority = self._certificates.read()
        return grpc.ssl_channel_credentials(authority, key, chain)

    def reload_if_changed(self) -> bool:
        """Take renewed files; a half-written one is left for the next look.

        :returns: whether anything was taken.
        """
        try:
            if not self._certificates.changed():
                return False
            self.load()
        except (OSError, ssl.SSLError):
            self._certificates.stamp = ()
            return False
        return True


def open_contexts(cert: str, key: str, authority: str) -> TlsContexts | TlsProblem:
    """Return a node's contexts, or why its files can't be used."""
    try:
        return TlsContexts(Certificates(cert, key, authority))
    except (OSError, ssl.SSLError) as error:
        return TlsProblem(f"the certificate files can't be used: {error}")
