"""Prints the load of each role at several fleet sizes, from the slopes of ``tools/slopes.py``."""

import argparse
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent))

from capacity import projection
from capacity.projection import Costs, Size

SIZES = ((32, 32), (680, 32), (680, 64), (680, 96))


def main() -> int:
    """Print the loads for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "results",
        nargs="+",
        type=Path,
        help="files of slopes; for the same slope, a later file takes precedence",
    )
    parser.add_argument("--size", nargs=2, type=int, action="append", metavar=("N", "S"))
    arguments = parser.parse_args()
    slopes: dict[str, dict] = {}
    for path in arguments.results:
        slopes |= msgspec.json.decode(path.read_bytes())["slopes"]
    costs = Costs(slopes)
    for instances, slots in arguments.size or SIZES:
        size = Size(instances=instances, slots=slots)
        print(f"{instances} instances, {slots} slots")
        for name, part in (
            ("holder: exchanges", projection.exchange_load(size, costs)),
            ("home of workspaces", projection.token_home_load(size, costs)),
            ("home of services", projection.service_home_load(size, costs)),
            ("stranded", projection.stranded(size)),
            ("claims", {"limit_per_s": projection.claims_per_s_limit(size)}),
        ):
            figures = ", ".join(f"{key} {value:.2f}" for key, value in part.items())
            print(f"  {name}: {figures}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
