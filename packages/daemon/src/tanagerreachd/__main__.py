"""Entry point of ``tanagerreachd``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402 (gevent must patch modules before they are imported)
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Annotated  # noqa: E402

import cappa  # noqa: E402
from result import Err  # noqa: E402

from ._daemon import Daemon  # noqa: E402
from ._listeners import AddressError  # noqa: E402
from ._logs import open_log  # noqa: E402
from ._settings import Settings, load_settings, settings_reference  # noqa: E402

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


@cappa.command(name="tanagerreachd", help="Run one entry instance of the proxy fleet.")
@dataclass(slots=True, kw_only=True)
class Options:
    """Command-line options of the instance."""

    settings: Annotated[
        Path | None, cappa.Arg(long="--settings", help="TOML file with the instance's settings")
    ] = None
    check: Annotated[bool, cappa.Arg(long="--check", help="check the settings and exit")] = False
    print_settings_reference: Annotated[
        bool, cappa.Arg(long="--print-settings-reference", help="print the settings reference")
    ] = False


def main() -> None:
    """Run the command line."""
    sys.exit(_run(cappa.parse(Options, completion=False)))


def _run(options: Options) -> int:
    if options.print_settings_reference:
        print(settings_reference(), end="")
        return EXIT_OK
    if options.settings is None:
        print("tanagerreachd: --settings FILE is required", file=sys.stderr)
        return EXIT_USAGE
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(f"tanagerreachd: {fault}", file=sys.stderr)
        return EXIT_USAGE
    if options.check:
        return EXIT_OK
    return _serve(loaded.ok_value)


def _serve(settings: Settings) -> int:
    log = open_log(
        file=settings.log_file,
        level=settings.log_level,
        secrets=(settings.fleet_secret, settings.operator_credential),
        fields={"instance": settings.instance_name},
    )
    try:
        Daemon(settings=settings, log=log).run()
    except AddressError as error:
        log.error("instance could not start", reason=str(error))
        print(f"tanagerreachd: {error}", file=sys.stderr)
        return EXIT_FAILED
    finally:
        log.close()
    return EXIT_OK


if __name__ == "__main__":
    main()
