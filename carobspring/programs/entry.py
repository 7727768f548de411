"""Starts ``carob-entry``."""

from carobspring.programs.start import start_program


def main() -> None:
    """Run ``carob-entry``."""
    start_program("entry_program")


if __name__ == "__main__":
    main()
