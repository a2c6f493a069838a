"""A certificate authority for tests. Its certificates are valid for one day."""

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
    """A certificate authority that writes certificates and their private keys to a folder."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        """Creates a key and writes the authority's own certificate to ``folder/name.pem``."""
        self.folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        builder = self._builder(self._name, self._key.public_key(), NOW + DAY)
        builder = builder.add_extension(x509.BasicConstraints(True, 0), critical=True)
        self.path = folder / f"{name}.pem"
        signed = builder.sign(self._key, hashes.SHA256())
        self.path.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        self.serials: dict[str, int] = {}  # serial numbers, by the name of the certificate

    def certificate(self, name: str, *names: str, until: datetime.datetime = NOW + DAY) -> tuple[str, str]:
        """Issues a certificate for these DNS names; returns the paths of the certificate and of its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        builder = self._builder(subject, key.public_key(), until)
        if names:
            alternative_names = x509.SubjectAlternativeName([x509.DNSName(dns_name) for dns_name in names])
            builder = builder.add_extension(alternative_names, critical=False)
        signed = builder.sign(self._key, hashes.SHA256())
        self.serials[name] = signed.serial_number
        certificate_path, key_path = self.folder / f"{name}.crt", self.folder / f"{name}.key"
        certificate_path.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        key_path.chmod(0o600)
        return str(certificate_path), str(key_path)

    def revocations(self, *names: str) -> str:
        """Writes a revocation list with these certificates; returns its path."""
        builder = x509.CertificateRevocationListBuilder(self._name, NOW - DAY, NOW + DAY)
        for name in names:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder(self.serials[name], NOW - DAY).build()
            )
        path = self.folder / "revoked.pem"
        path.write_bytes(builder.sign(self._key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM))
        return str(path)

    def client(self, *certificate_and_key: str) -> ssl.SSLContext:
        """Returns a client context that trusts the authority and presents a certificate if one is given."""
        context = ssl.create_default_context(cafile=str(self.path))
        if certificate_and_key:
            context.load_cert_chain(*certificate_and_key)
        return context

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey, until: datetime.datetime
    ) -> x509.CertificateBuilder:
        return x509.CertificateBuilder(
            self._name, subject, key, x509.random_serial_number(), min(NOW, until) - DAY, until
        )


def write_all(folder: Path) -> int:
    """Writes the certificates of an authority, a server and a client; returns the exit status."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    authority = Authority(folder)
    server, _ = authority.certificate("server", "localhost")
    farm, _ = authority.certificate("farm", "a.farm.example")
    print(f"{authority.path}, {server} and {farm}, each with its key in a file that ends in .key")
    return 0


def fingerprint(path: str) -> str:
    """Returns the SHA-256 of a certificate's DER form, in hexadecimal."""
    return x509.load_pem_x509_certificate(Path(path).read_bytes()).fingerprint(hashes.SHA256()).hex()
