"""Runs the soak: `python -m buckthornstage.soak --seeds=1-3`."""

from buckthornstage.soak import main

if __name__ == "__main__":
    main.run()
