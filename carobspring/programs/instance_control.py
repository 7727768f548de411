"""Starts ``carob-control`` on an instance of a platform."""

from carobspring.programs.start import start_program


def main() -> None:
    """Run ``carob-control``."""
    start_program("instance_control_program")


if __name__ == "__main__":
    main()
