"""Starts ``carob-control``."""

from carobspring.programs.start import start_program


def main() -> None:
    """Run ``carob-control``."""
    start_program("control_program")


if __name__ == "__main__":
    main()
