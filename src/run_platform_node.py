"""Entry point of the mesh node on the users' platform; see `deploy/system.toml`."""

import gc

if __name__ == "__main__":
    # Imports create much and leave little garbage, so most collections find nothing.
    gc.set_threshold(10_000)
    from buckthornstage.platform import main

    main.run()
