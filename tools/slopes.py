"""Measures each cost separately at doubling sizes, fits lines, and writes them as JSON.

``tools/project_capacity.py`` computes the loads of ``docs/CAPACITY.md`` from the results.
"""

import argparse
import os
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent))

from capacity import configuration, fleet, lists, memory, messages, traffic
from capacity.fitting import Slope

PARTS = {
    "memory": memory.slopes,
    "messages": messages.slopes,
    "traffic": traffic.slopes,
    "configuration": configuration.slopes,
    "lists": lists.slopes,
    "fleet": fleet.slopes,
}


def measure_parts(parts: Iterable[str]) -> Iterator[Slope]:
    """Measure the chosen parts, and print each fitted line as soon as it is measured."""
    print(f"{'cost':34} {'slope':>12} {'intercept':>12} {'residual':>10}  unit per size")
    for part in parts:
        for slope in PARTS[part]():
            print(
                f"{slope.name:34} {slope.slope:12.3f} {slope.intercept:12.2f}"
                f" {slope.residual:10.2f}  {slope.unit} per {slope.per}"
                f" at {', '.join(f'{size:g}' for size in slope.sizes)}",
                flush=True,
            )
            yield slope


def main() -> int:
    """Measure the chosen parts and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=Path("build/slopes.json"))
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], default=[])
    arguments = parser.parse_args()
    load_before = os.getloadavg()[0]
    started_s = time.monotonic()
    slopes = list(measure_parts(arguments.parts or PARTS))
    result = {
        "load_average_before": load_before,
        "load_average_after": os.getloadavg()[0],
        "duration_s": round(time.monotonic() - started_s, 1),
        "slopes": {slope.name: slope for slope in slopes},
    }
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
