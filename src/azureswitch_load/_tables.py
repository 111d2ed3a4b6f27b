"""Tables for people."""

from collections.abc import Iterator, Mapping, Sequence

from azureswitch_load._report import LoadReport


def show_report(*, report: LoadReport) -> Iterator[str]:
    """Yield the lines of a report."""
    yield f"{report.whole} of {report.calls} calls got their whole answer."
    yield f"Requests: {_counts(report.ends)}; sent again by callers: {report.retries}."
    if report.failures:
        yield f"Failures: {_counts(report.failures)}."
    yield ""
    yield "Time to first token by prompt length"
    yield from table(
        header=("prompt", "calls", "whole", "p50 ms", "p95 ms"),
        rows=[
            (
                bucket.length,
                str(bucket.calls),
                str(bucket.whole),
                _milliseconds(bucket.first_token.p50),
                _milliseconds(bucket.first_token.p95),
            )
            for bucket in report.buckets
        ],
    )
    yield ""
    yield from _show_slowdown(report)
    yield ""
    yield "Customers"
    yield from table(
        header=("customer", "weight", "calls", "whole", "refused", "tokens", "share", "p95 ms"),
        rows=[
            (
                customer.name,
                f"{customer.weight:g}",
                str(customer.calls),
                str(customer.whole),
                str(customer.refused),
                str(customer.tokens),
                f"{customer.share:.1%}",
                _milliseconds(customer.first_token.p95),
            )
            for customer in report.customers
        ],
    )


def table(*, header: Sequence[str], rows: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the lines of a table whose first column is text and whose others are numbers."""
    lines = [header, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = [line[0].ljust(widths[0])]
        cells.extend(cell.rjust(width) for cell, width in zip(line[1:], widths[1:], strict=True))
        yield "  " + "  ".join(cells)


def _show_slowdown(report: LoadReport) -> Iterator[str]:
    slowdown = report.slowdown
    yield "Slowdown of short requests while long ones share the fleet"
    yield from table(
        header=("", "calls", "p50 ms", "p95 ms"),
        rows=[
            (
                name,
                str(times.count),
                _milliseconds(times.p50),
                _milliseconds(times.p95),
            )
            for name, times in (("alone", slowdown.alone), ("mixed", slowdown.mixed))
        ],
    )
    yield f"  ratio of p50 {slowdown.p50:.2f}, of p95 {slowdown.p95:.2f}"


def _milliseconds(seconds: float) -> str:
    return f"{seconds * 1_000:.1f}"


def _counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
