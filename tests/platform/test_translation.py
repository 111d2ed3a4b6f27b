"""Decoding the platform's settings, headers, configuration and targets."""

from pathlib import Path

import pytest

from azureswitch.client import Headers, HttpHead
from azureswitch.core import CallId, CustomerName
from azureswitch.exceptions import (
    AzureswitchError,
    DeploymentUnreadableError,
    InvalidHeaderError,
    NoTargetError,
    PlatformSettingsError,
    UnknownPathError,
)
from azureswitch.gateway import (
    AdvertisedLimit,
    AnswerInfo,
    AttemptInfo,
    Helper,
    RequestInfo,
    RouteKind,
)
from azureswitch.inventory import TargetRole
from azureswitch.platform import (
    PlatformDialect,
    TargetReader,
    decode_deployment,
    read_settings,
)
from azureswitch.ports import StoredObject
from azureswitch.server import HttpRequest
from tests.platform.foreign import DEEP

SETTINGS = """
NodeName = "edge-pnw-a-1"
Ip = "10.1.0.40"
Zone = "pnw-a"
Unknown = [1, 2]
InternalPorts = [7340,7355]
[Zones]
pnw-a = "pnw"
pnw-b = "pnw"
[ListenAddrs]
Front = "10.1.0.40:8227"
Ready = "10.1.0.40:8220"
[Bounds]
GraceS = 8
BudgetRatio = 0.2
RetrySlack = 100
[Platform]
Address = "10.200.1.7:8223"
"""

CONFIGURATION = b"""{"Version":7,"Routes":[
{"Name":"r1","Host":"Ficu95.example","PathPrefix":"/lohu930/","Kind":"streaming","TimeoutMs":10000,
"TargetLatencyMs":300,"Priority":1,"TrafficSplit":[{"Service":"huvo11a","Weight":90},
{"Service":"wuno96b","Weight":10}],"MaxAttempts":2,"Anonymous":false,"Sticky":true,
"StreamResume":true,"GapTargetMs":250},
{"Name":"r2","Host":"ficu95.example","PathPrefix":"/p/","Kind":"non_idempotent",
"Service":"wuno96b","MaxAttempts":1}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConnections":264,
"Engine":{"Slots":8,"KvCapacity":405000,"Stride":34,"step_ms":1.31,"per_seq_ms":0.001834,
"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"report_lag_ms":200.0,
"delays":[{"From":"pnw-a","TargetVersion":"pnw-b","delay_ms":0.9}]}},{"Name":"wuno96b"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["k1","k2"],"Priority":1}]}"""


LIMITS = (
    (["1"], AdvertisedLimit(text="1", rate=1.0)),
    (["0.5"], AdvertisedLimit(text="0.5", rate=0.5)),
    ([" 12.25 "], AdvertisedLimit(text="12.25", rate=12.25)),
    (["0"], AdvertisedLimit(text="0", rate=0.0)),
    (["9" * 300], AdvertisedLimit(text="9" * 64, rate=float("9" * 300))),
    (["9" * 400], AdvertisedLimit(text="9" * 64)),
    ([""], AdvertisedLimit(text="")),
    (["-1"], AdvertisedLimit(text="-1")),
    (["nan"], AdvertisedLimit(text="nan")),
    (["inf"], AdvertisedLimit(text="inf")),
    (["1e3"], AdvertisedLimit(text="1e3")),
    (["1_0"], AdvertisedLimit(text="1_0")),
    (["many"], AdvertisedLimit(text="many")),
    (["٣"], AdvertisedLimit(text="٣")),
    (["3", "2"], AdvertisedLimit(text="3, 2", rate=2.0)),
    (["3", "many"], AdvertisedLimit(text="3, many")),
)
"""Values of a target's limit headers, and the limits read from them."""


def stored(value: bytes, name: str = "main") -> StoredObject:
    """Return an object of the store."""
    return StoredObject(kind="k", name=name, version=3, value=value)


def request(*headers: tuple[str, str]) -> HttpRequest:
    """Return a request with these headers."""
    return HttpRequest(method="POST", target="/a/", headers=headers, body=b"")


class TestSettings:
    """`read_settings`."""

    def test_read(self, tmp_path: Path) -> None:
        """Known fields are decoded, and unknown fields are ignored."""
        path = tmp_path / "local.toml"
        path.write_text(SETTINGS)
        settings = read_settings(path)
        assert settings.addresses.callers == "10.1.0.40:8227"
        assert settings.peer_ports == (7340, 7355)
        assert [(p.name, p.region) for p in settings.places] == [("pnw-a", "pnw"), ("pnw-b", "pnw")]
        assert (settings.bounds.grace_seconds, settings.bounds.drain_milliseconds) == (8.0, 2_000.0)

    @pytest.mark.parametrize("text", [None, "", "NodeName = ", SETTINGS.replace("Front", "Back")])
    def test_refused(self, tmp_path: Path, text: str | None) -> None:
        """Settings that are missing, malformed or incomplete raise `PlatformSettingsError`."""
        path = tmp_path / "local.toml"
        if text is not None:
            path.write_text(text)
        with pytest.raises(PlatformSettingsError) as caught:
            read_settings(path)
        assert str(path) in str(caught.value)


class TestDeployment:
    """`decode_deployment` and `TargetReader`."""

    def test_decoded(self) -> None:
        """Fields get the project's names, and times are converted to seconds."""
        deployment = decode_deployment(stored(CONFIGURATION))
        stream, plain = deployment.routes
        assert (stream.host, stream.kind, stream.timeout) == (
            "ficu95.example",
            RouteKind.STREAMING,
            10.0,
        )
        assert (stream.objective, stream.gap_objective, stream.runs) == (0.3, 0.25, 2)
        assert stream.repeatable
        assert not plain.repeatable
        assert [(s.service, s.weight) for s in stream.shares] == [("huvo11a", 90), ("wuno96b", 10)]
        assert [s.service for s in plain.shares] == ["wuno96b"]
        assert deployment.customers == {"k1": "hule930", "k2": "hule930"}
        pace = deployment.services[0].pace
        assert pace is not None
        assert pace.step == pytest.approx(0.00131)
        assert pace.pair == pytest.approx(1.62e-10)
        assert pace.context_step == pytest.approx(2.13e-9)
        assert deployment.services[1].pace is None
        assert deployment.limits.idle_seconds == 15.0

    @pytest.mark.parametrize(
        ("state", "role"),
        [("in_service", TargetRole.SERVING), ("draining", TargetRole.DRAINING)],
    )
    def test_target(self, state: str, role: TargetRole) -> None:
        """A target has the memory of its service's engines, and the role of its state."""
        value = (
            b'{"Service":"huvo11a","Address":"10.0.0.9:80","Zone":"pnw-a","State":"%s",'
            b'"Version":"v1","Slots":8,"ColdLeftMs":0,'
            b'"Models":[{"Name":"m","Version":1}],"Sequence":4}' % state.encode()
        )
        deployment = decode_deployment(stored(CONFIGURATION))
        (target,) = TargetReader().read([stored(value, name="i-1")], deployment=deployment).targets
        assert (target.name, target.role, target.memory) == ("i-1", role, 405_000)
        assert target.models == ("m",)

    @pytest.mark.parametrize("value", [b"", b"{}", b"[]", b'{"Version":"x"}', b"\xff", DEEP])
    def test_unreadable(self, value: bytes) -> None:
        """An unreadable configuration or target is rejected without other errors."""
        with pytest.raises(DeploymentUnreadableError):
            decode_deployment(stored(value))
        found = TargetReader().read([stored(value)], deployment=None)
        assert (found.targets, [item.name for item in found.foreign]) == ((), ["main"])


class TestDialect:
    """`PlatformDialect`."""

    def test_read(self) -> None:
        """Headers are decoded, and times are converted to seconds."""
        arrival = PlatformDialect().read(
            request(
                ("x-azureswitch-attempt-id", "9c41"),
                ("x-azureswitch-time-remaining", "1500"),
                ("x-azureswitch-token-counts", "1460,80"),
                ("x-azureswitch-model", "m"),
                ("last-event-id", "12"),
                ("authorization", "bearer  key "),
            )
        )
        assert arrival == RequestInfo(
            id=CallId("9c41"),
            key="key",
            seconds_left=1.5,
            model="m",
            prompt_tokens=1_460,
            output_tokens=80,
            last_event=12,
        )

    @pytest.mark.parametrize(
        "header",
        [
            ("x-azureswitch-attempt-id", ""),
            ("x-azureswitch-time-remaining", "soon"),
            ("x-azureswitch-token-counts", "many"),
            ("x-azureswitch-prompt-prefix", "5c1e07a2"),
            ("x-azureswitch-prompt-prefix", "5c1e07a2:800,,91bd3f06:410"),
            ("x-azureswitch-prompt-prefix", "5c1e07a2:-1"),
            ("x-azureswitch-prompt-prefix", "5c1e07a2:8.5"),
            ("x-azureswitch-prompt-prefix", "word:8"),
            ("x-azureswitch-prompt-prefix", f"{'a' * 65}:8"),
            ("last-event-id", "x"),
        ],
    )
    def test_refused(self, header: tuple[str, str]) -> None:
        """An invalid value raises an error with the header's name."""
        headers = dict((("x-azureswitch-attempt-id", "1"), header))
        with pytest.raises(InvalidHeaderError) as caught:
            PlatformDialect().read(request(*headers.items()))
        assert caught.value.name == header[0]

    def test_sending(self) -> None:
        """A target gets this system's headers, and not the caller's values for them."""
        dialect = PlatformDialect()
        caller = request(
            ("x-azureswitch-attempt-id", "1"),
            ("x-azureswitch-tenant", "other"),
            ("x-azureswitch-target-instance", "other"),
            ("x-azureswitch-helpers", "other"),
            ("authorization", "Bearer key"),
            ("connection", "keep-alive, x-hop"),
            ("x-hop", "1"),
            ("transfer-encoding", "chunked"),
            ("x-azureswitch-model", "m"),
            ("x-own", "1"),
        )
        headers = dict(
            dialect.sending(
                caller,
                AttemptInfo(
                    arrival=dialect.read(caller),
                    customer=CustomerName("ann"),
                    target="i-1",
                    seconds_left=1.2345,
                    last_event=7,
                    urgency=-9,
                    helpers=(Helper(address="1:1", ticket="t"), Helper(address="2:2")),
                ),
            )
        )
        assert headers == {
            "x-azureswitch-attempt-id": "1",
            "x-azureswitch-model": "m",
            "x-own": "1",
            "x-azureswitch-time-remaining": "1234",
            "x-azureswitch-target-instance": "i-1",
            "x-azureswitch-tenant": "ann",
            "last-event-id": "7",
            "x-azureswitch-urgency-class": "0",
            "x-azureswitch-helpers": "1:1/t,2:2",
        }

    @pytest.mark.parametrize(
        ("value", "shared"),
        [
            pytest.param(None, [], id="none"),
            pytest.param("e4402b7d:250", [], id="its own alone"),
            pytest.param(
                "5c1e07a2:800,91bd3f06:410,e4402b7d:250", ["5c1e07a2", "91bd3f06"], id="three"
            ),
            pytest.param(" 5C1E07A2:800, e4402b7d:250", ["5c1e07a2"], id="upper case"),
            pytest.param(
                ",".join(f"{n:x}:1" for n in range(100)),
                [f"{n:x}" for n in range(63)],
                id="bounded",
            ),
        ],
    )
    def test_shared_parts(self, value: str | None, shared: list[str]) -> None:
        """The parts of a prompt are decoded up to a bound, and the last one is not shared."""
        headers = [("x-azureswitch-attempt-id", "1")]
        if value is not None:
            headers.append(("x-azureswitch-prompt-prefix", value))
        request = HttpRequest(method="POST", target="/", headers=tuple(headers), body=b"")
        read = PlatformDialect().read(request)
        assert [part.id for part in read.shared_parts] == shared

    @pytest.mark.parametrize(
        ("status", "headers", "verdict"),
        [
            (
                200,
                (("x-azureswitch-response-seal", "s"), ("x-azureswitch-attempt-id", "1")),
                AnswerInfo(not_run=False, id="1", sealed=True),
            ),
            (503, (("x-azureswitch-not-executed", "1"),), AnswerInfo(not_run=True)),
            (503, (), AnswerInfo(not_run=False)),
            (421, (("at-server", "1:1"),), AnswerInfo(not_run=True, at_fault="1:1")),
            (
                503,
                (("x-azureswitch-not-executed", "1"), ("retry-after", "0.5")),
                AnswerInfo(not_run=True, retry_after=0.5),
            ),
            (200, (("content-encoding", "br"),), AnswerInfo(not_run=False, readable=False)),
            (500, (("server-leaving", "1"),), AnswerInfo(not_run=False, leaving=True)),
            (200, (("server-leaving", "0"),), AnswerInfo(not_run=False)),
            (421, (("server-leaving", "1"),), AnswerInfo(not_run=True)),
            *[
                (
                    200,
                    tuple(("server-limit", text) for text in texts),
                    AnswerInfo(not_run=False, limit=limit),
                )
                for texts, limit in LIMITS
            ],
            (421, (("server-limit", "1"),), AnswerInfo(not_run=True)),
        ],
    )
    def test_judge(self, status: int, headers: Headers, verdict: AnswerInfo) -> None:
        """The verdict follows from the status and the headers of the response."""
        assert PlatformDialect().decode_answer(HttpHead(status=status, headers=headers)) == verdict

    @pytest.mark.parametrize(
        ("error", "after"), [(NoTargetError(seconds=0.25), "0.250"), (UnknownPathError(), None)]
    )
    def test_failure(self, error: AzureswitchError, after: str | None) -> None:
        """An error response has a retry delay if one is known, and never a seal."""
        headers, body = PlatformDialect().failure(error)
        assert dict(headers).get("retry-after") == after
        assert "x-azureswitch-response-seal" not in dict(headers)
        assert error.code.encode() in body
