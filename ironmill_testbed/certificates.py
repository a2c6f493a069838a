"""An authority for tests and trials, and certificates that it signs. Good for a day, and for nothing real."""

from __future__ import annotations

import datetime
import ssl
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

NOW = datetime.datetime.now(datetime.UTC)
DAY = datetime.timedelta(days=1)


class Authority:
    """Signs certificates, and writes them with their keys into a folder."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        builder = self._builder(self._name, self._key.public_key(), NOW + DAY)
        builder = builder.add_extension(x509.BasicConstraints(True, 0), True)
        self.path = folder / f"{name}.pem"
        signed = builder.sign(self._key, hashes.SHA256())
        self.path.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        self.serials: dict[str, int] = {}

    def certificate(self, name: str, *names: str, until: datetime.datetime = NOW + DAY) -> tuple[str, str]:
        """Paths of a certificate for these DNS names and of its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        builder = self._builder(subject, key.public_key(), until)
        if names:
            listed = x509.SubjectAlternativeName([x509.DNSName(it) for it in names])
            builder = builder.add_extension(listed, False)
        signed = builder.sign(self._key, hashes.SHA256())
        self.serials[name] = signed.serial_number
        paths = self.folder / f"{name}.crt", self.folder / f"{name}.key"
        paths[0].write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        paths[1].chmod(0o600)
        return str(paths[0]), str(paths[1])

    def revocations(self, *names: str) -> str:
        """The path of a list that revokes those certificates."""
        builder = x509.CertificateRevocationListBuilder(self._name, NOW - DAY, NOW + DAY)
        for name in names:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder(self.serials[name], NOW - DAY).build()
            )
        path = self.folder / "revoked.pem"
        path.write_bytes(builder.sign(self._key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM))
        return str(path)

    def client(self, *shown: str) -> ssl.SSLContext:
        """A client's context that trusts the authority and shows that certificate and key."""
        context = ssl.create_default_context(cafile=str(self.path))
        if shown:
            context.load_cert_chain(*shown)
        return context

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey, until: datetime.datetime
    ) -> x509.CertificateBuilder:
        return x509.CertificateBuilder(
            self._name, subject, key, x509.random_serial_number(), min(NOW, until) - DAY, until
        )


def write_all(folder: Path) -> int:
    """An authority, certificates of a server for localhost and of a client; the exit status."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    authority = Authority(folder)
    server, _ = authority.certificate("server", "localhost")
    farm, _ = authority.certificate("farm", "a.farm.example")
    print(f"{authority.path}, {server} and {farm}, each with its key in a file that ends in .key")
    return 0


def fingerprint(path: str) -> str:
    """SHA-256 of a certificate's DER form, hexadecimal."""
    return x509.load_pem_x509_certificate(Path(path).read_bytes()).fingerprint(hashes.SHA256()).hex()
