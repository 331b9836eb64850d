"""Entry point of the mesh node on the users' platform; see `deploy/system.toml`."""

import gc

if __name__ == "__main__":
    # By default imports are interrupted by 57 collections. With none at all 1 MB would stay in use.
    gc.set_threshold(10_000)
    from buckthornstage.platform import main

    main.run()
