"""The command line's entry point."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command that the arguments name."""
    if len(sys.argv) > 1 and sys.argv[1] == "node":
        # The daemon's libraries must be patched for cooperative sockets before anything else is
        # imported.
        from .patch import patch

        patch()
    from .application import build

    return build().run()


if __name__ == "__main__":
    sys.exit(main())
