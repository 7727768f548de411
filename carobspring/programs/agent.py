"""Starts ``carob-agent``."""

from carobspring.programs.start import start_program


def main() -> None:
    """Run ``carob-agent``."""
    start_program("agent_program")


if __name__ == "__main__":
    main()
